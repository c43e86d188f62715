"""Stand-ins and helpers for the cases of the second review: clients, caches, parents, origin, journal service and the
start of the project's fronts. Python's standard library only; all sockets are on loopback addresses and free ports."""

import asyncio
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT = 115  # of a whole case, in seconds

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def ms(seconds):
    return int(seconds * 1000)


class CouldNotRun(Exception):
    """The case could not be played as described, so it says nothing about the rule."""


class Record:
    """record.txt: one line for each thing that was sent, answered or run, with milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.time()
        self.line("start", unix_ms=int(self.started * 1000), trouble=int(TROUBLE))

    def line(self, what, **fields):
        ms = (time.time() - self.started) * 1000
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{ms:10.1f} {what} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line("result", text=repr(text))
        print(text, flush=True)


# ---- the platform's configuration -----------------------------------------------------------------------------------

def request_class(name, repeat="safe", deadline_s=3.0, goal_s=0.5, ttl_s=0.0, group="all", worth=1.0):
    return {"name": name, "repeat": repeat, "goal_time_s": goal_s, "aim_stretch": 2.0, "deadline_s": deadline_s,
            "worth": worth, "late_worth": 0.1, "group": group, "key_ttl_s": ttl_s, "stream": False}


def settings(classes, goes_through, max_age, zone_fronts=1, fronts=1, drain_grace_s=1.0, heed_s=1.0, send_cap=8,
             direct=False, tell=False, joins=False):
    """Settings of a small deployment: one hub and one location. Names and units as on the wire page."""
    return {
        "balancers": fronts, "rank": 0, "locality": 1, "zones": ["main", "east"], "family": "edge",
        "host_types": ["std", "parent", "origin"], "weight_kind": "off", "registry_mode": "pushed",
        "classes": classes, "feedback": {"fields": ["cpu_share"], "source": "inline"},
        "guarantees": {"answer_slack_s": 0.058, "cold_from": 0.2, "warm_after_s": 10.0, "overload_factor": 3.0,
                       "overload_for_s": 3.0, "drain_grace_s": drain_grace_s, "must_ask_in_s": 10.0},
        "limits": {"cancel": True, "conn_idle_s": 30.0, "connect_timeout_s": 0.4, "max_open": 20000,
                   "may_duplicate": False, "may_probe": False, "may_tell": tell, "multiplex": 1, "retry_after": True,
                   "max_retry_after_s": 1.0, "send_cap": send_cap},
        "specifics": {"origin_kind": 2, "second_tier_kind": 1, "says": "all", "pass_through_ok": direct,
                      "goes_through": goes_through, "max_age_s": max_age, "stale_for_s": [0.0] * len(classes),
                      "segmented": [False] * len(classes), "shares_fills": joins, "purge_settles_s": 6.0,
                      "heed_within_s": heed_s, "upper_cold_from": 0.1, "parent_warms_in_s": 10.0,
                      "parent_fall_multiple": 2.0, "siblings": "off", "flow_kb_per_s": 10000.0,
                      "zone_balancers": [0, zone_fronts], "zone_hub": [0, 0]},
    }


def member(server, phase="SERVING", up_since_ms=0):
    return {"id": server.id, "host_port": server.host_port, "locality": "east" if server.flavor == "std" else "main",
            "flavor": server.flavor, "cell": 1, "phase": phase, "size": 4, "up_since_ms": up_since_ms}


def hosts(members, complete=False, revision=1):
    return {"hosts": {"revision": revision, "complete": complete, "members": members}}


# ---- the journal service --------------------------------------------------------------------------------------------

class Journal:
    """The journal service as one front reaches it. `first_delay` is how long it takes until it begins to tell on a new
    connection; a connection that ends meanwhile is dropped. Later lines come at once."""

    def __init__(self, rig, name="journal"):
        self.rig, self.name = rig, name
        self.events = []  # objects without their number; the number is the index plus 1
        self.first_delay = 0.0
        self.closed = False  # accepts nothing more, tells nothing more
        self.changed = asyncio.Condition()

    async def open(self):
        self.server, self.address = await self.rig.listen(self.serve)
        return self

    def known(self):
        entries = [dict(e, pos=i + 1) for i, e in enumerate(self.events)]
        return {"pos": len(entries), "entries": entries}

    async def publish(self, event):
        async with self.changed:
            self.events.append(event)
            self.changed.notify_all()
        self.rig.record.line("journal-event", journal=self.name, pos=len(self.events), event=json.dumps(event))

    async def serve(self, reader, writer):
        record = self.rig.record
        if self.closed:
            return
        line = await reader.readline()
        if not line.startswith(b"tail "):
            return
        at = int(line.split()[1])
        delay = self.first_delay
        record.line("journal-tail", journal=self.name, after=at, begins_in_ms=int(delay * 1000))
        end = asyncio.ensure_future(reader.read(1))
        if delay > 0:
            done, _ = await asyncio.wait([end], timeout=delay)
            if done:
                record.line("journal-gave-up", journal=self.name, after=at)
                return
        told = None
        while not end.done() and not self.closed:
            while at < len(self.events):
                at += 1
                writer.write(json.dumps(dict(self.events[at - 1], pos=at)).encode() + b"\n")
                record.line("journal-told", journal=self.name, pos=at)
            now = time.time()
            if told is None or now >= told + 1.0:
                told = now
                writer.write(b"%d\n" % at)
            await writer.drain()
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, told + 1.0 - time.time()))
                except asyncio.TimeoutError:
                    pass
        record.line("journal-closed", journal=self.name)


# ---- caches, parents, origin ----------------------------------------------------------------------------------------

class Get:
    """A request that has come whole to a server."""

    def __init__(self, path, headers, body, first_byte, number):
        _, _, self.cls, self.object, part = path.split("/")
        self.part, self.headers, self.body = int(part), headers, body
        self.first_byte, self.whole, self.number = first_byte, time.time(), number

    def __getattr__(self, name):
        known = {"id": "x-req", "key": "idempotency-key", "upstream": "upstream", "modes": "modes",
                 "version": "known-version"}
        if name in known:
            return self.headers.get(known[name])
        raise AttributeError(name)

    def int(self, name, default=0):
        return int(self.headers.get(name, default))


def answer(status, body=b"", **headers):
    reason = {200: "OK", 304: "Not Modified", 404: "Not Found", 500: "Internal Server Error",
              503: "Service Unavailable", 504: "Gateway Timeout"}[status]
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A cache, a parent or the origin: HTTP/1.1, one request at a time on a connection. `handle(server, get, connection)`
    returns the bytes of the answer, or None if it has done everything itself."""

    def __init__(self, rig, id, flavor, handle):
        self.rig, self.id, self.flavor, self.handle = rig, id, flavor, handle
        self.gets = []
        self.connections = 0

    async def open(self):
        self.server, self.address = await self.rig.listen(self.serve)
        self.host_port = "%s:%d" % self.address
        return self

    async def serve(self, reader, writer):
        self.connections += 1
        connection = Connection(self.connections, reader, writer)
        while True:
            first = await reader.read(1)
            if not first:
                return
            first_byte = time.time()
            head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            method, path, _ = lines[0].split(" ")
            assert method == "GET", lines[0]
            headers = {k.lower(): v for k, v in (l.split(": ", 1) for l in lines[1:] if l)}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            get = Get(path, headers, body, first_byte, connection.number)
            self.gets.append(get)
            self.rig.record.line("server-got", server=self.id, connection=connection.number, path=path, id=get.id,
                                 key=get.key, upstream=get.upstream, oldest_ms=headers.get("oldest-ms"),
                                 wait_ms=headers.get("x-wait-ms"))
            out = await self.handle(self, get, connection)
            if out is None:
                continue
            writer.write(out)
            await writer.drain()
            self.rig.record.line("server-answered", server=self.id, connection=connection.number, id=get.id,
                                 status=out[9:12].decode())


class Connection:
    def __init__(self, number, reader, writer):
        self.number, self.reader, self.writer = number, reader, writer
        self.served = 0

    def reset(self):
        import socket
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def until_closed(self, seconds):
        """Waits for the front to close the connection; returns whether it did."""
        try:
            return await asyncio.wait_for(self.reader.read(1), seconds) == b""
        except asyncio.TimeoutError:
            return False
        except ConnectionError:
            return True


def bytes_of(cls, object, part, size=400):
    """The bytes of a part of an object: they name it, so that foreign bytes are seen."""
    text = f"{cls}/{object}/{part};".encode()
    return (text * (size // len(text) + 1))[:size]


# ---- fronts ---------------------------------------------------------------------------------------------------------

def deploy_command():
    for line in open(os.path.join(ROOT, "deploy", "balancer.toml")):
        if line.startswith("run"):
            return line.split("=", 1)[1].strip().strip('"')
    raise CouldNotRun("no run command in deploy/balancer.toml")


class Front:
    """A front, started by the `run` command of the deploy file. `own` is the text of a settings file of our own."""

    def __init__(self, rig, name, config, own=None):
        self.rig, self.name, self.config, self.own = rig, name, config, own
        self.starts = 0
        self.process = None
        self.address = rig.free_address()

    def write_config(self):
        config = dict(self.config, name=self.name, listen="%s:%d" % self.address,
                      limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024})
        config.setdefault("seed", "8c1f30d27a5be964")
        path = os.path.join(self.rig.folder, f"{self.name}.json")
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.rename(path + ".new", path)
        return path

    async def start(self):
        self.starts += 1
        command = deploy_command()
        env = dict(os.environ, BALANCER_CONFIG=self.write_config(), BALANCER_NAME=self.name,
                   BALANCER_LISTEN="%s:%d" % self.address, TMPDIR=self.rig.folder)
        if self.own is not None:
            path = os.path.join(self.rig.folder, f"{self.name}.textproto")
            with open(path, "w") as file:
                file.write(self.own)
            command += f" serve --settings {path}"
        log = open(os.path.join(self.rig.folder, f"{self.name}.{self.starts}.log"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        self.rig.processes.append(self.process)
        self.rig.record.line("front-started", name=self.name, pid=self.process.pid)
        await self.until_ready()

    async def until_ready(self, seconds=30.0):
        """As the platform does: type 80 until it is answered with code 0."""
        end = time.time() + seconds
        while time.time() < end:
            if self.process.poll() is not None:
                raise CouldNotRun(f"front {self.name} ended with {self.process.returncode}: {self.log()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(frame(80, 1, b"\0"))
                kind, _, payload = await asyncio.wait_for(read_frame(reader), 1.0)
                writer.close()
                if kind == 81 and payload[0] == 0:
                    self.rig.record.line("front-ready", name=self.name)
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"front {self.name} was not ready within {seconds} s")

    def signal(self, number):
        self.rig.record.line("front-signal", name=self.name, signal=number)
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.005)

    def is_running(self):
        return self.process.poll() is None

    def log(self):
        path = os.path.join(self.rig.folder, f"{self.name}.{self.starts}.log")
        return open(path, errors="replace").read()


# ---- clients --------------------------------------------------------------------------------------------------------

def frame(kind, stream, payload=b""):
    return struct.pack("<IBI", 5 + len(payload), kind, stream) + payload


def fields(pairs):
    out = [bytes([len(pairs)])]
    for name, value in pairs:
        name, value = name.encode(), str(value).encode()
        out.append(bytes([len(name)]) + name + struct.pack("<H", len(value)) + value)
    return b"".join(out)


async def read_frame(reader):
    length, kind, stream = struct.unpack("<IBI", await reader.readexactly(9))
    return kind, stream, await reader.readexactly(length - 5)


def parse_answer(payload):
    code, count, at, found = payload[0], payload[1], 2, {}
    for _ in range(count):
        n = payload[at]
        name = payload[at + 1:at + 1 + n].decode()
        at += 1 + n
        n, = struct.unpack_from("<H", payload, at)
        found[name] = payload[at + 2:at + 2 + n].decode()
        at += 2 + n
    return code, found, payload[at:]


WORDS = {0: "served", 11: "refused", 5: "failed"}


class Answer:
    def __init__(self, word, found=None, body=b"", at=None):
        self.word, self.fields, self.body, self.at = word, found or {}, body, at or time.time()


class Client:
    """One connection of a client. `ask` returns the answer; 'gave-up' if none came within the limit (type 67 is then
    sent), 'lost' if the connection ended before."""

    def __init__(self, rig, front, name="c"):
        self.rig, self.front, self.name = rig, front, name
        self.streams, self.last, self.closed = {}, 0, False

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.front.address)
        self.task = self.rig.spawn(self.receive())
        return self

    async def receive(self):
        try:
            while True:
                kind, stream, payload = await read_frame(self.reader)
                if kind == 66 and stream in self.streams:
                    code, found, body = parse_answer(payload)
                    future = self.streams.pop(stream)
                    if not future.done():
                        future.set_result(Answer(WORDS[code], found, body))
                elif kind == 66:
                    self.rig.record.line("client-stray-answer", client=self.name, stream=stream, code=payload[0])
        except (asyncio.IncompleteReadError, OSError):
            pass
        self.closed = True
        for future in self.streams.values():
            if not future.done():
                future.set_result(Answer("lost"))

    async def ask(self, cls, object, part=0, limit_ms=1500, key=None, group=17, body=b"", tag=None, cancel=True, note=None):
        self.last += 1
        stream, id = self.last, "%016x" % random.getrandbits(64)
        pairs = [("verb", cls), ("txn", id), ("limit", limit_ms), ("item", object), ("slice", part), ("set", group)]
        pairs += [("unique", key)] if key else []
        pairs += [("seen", tag)] if tag else []
        future = asyncio.get_running_loop().create_future()
        self.streams[stream] = future
        if note:
            note(id)
        sent = time.time()
        self.rig.record.line("client-sent", client=self.name, stream=stream, id=id, verb=cls, item=object, slice=part,
                             limit_ms=limit_ms, key=key)
        self.writer.write(frame(65, stream, fields(pairs) + body))
        try:
            result = await asyncio.wait_for(asyncio.shield(future), limit_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            result = Answer("gave-up")
            self.streams.pop(stream, None)
            if cancel and not self.closed:
                self.writer.write(frame(67, stream))
        result.sent, result.id = sent, id
        self.rig.record.line("client-answer", client=self.name, stream=stream, id=id, word=result.word,
                             fields=json.dumps(result.fields), bytes=len(result.body),
                             after_ms=int((result.at - sent) * 1000))
        return result

    def close(self):
        self.writer.close()


class Site:
    pass


# ---- the run --------------------------------------------------------------------------------------------------------

class Rig:
    def __init__(self, case):
        self.case = os.path.dirname(os.path.abspath(case))
        self.record = Record(self.case)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.processes, self.servers, self.tasks = [], [], set()
        # One address of the loopback range for each run, so that runs side by side share no ports.
        self.host = "127.%d.%d.%d" % (random.randint(70, 120), random.randint(1, 250), random.randint(1, 250))
        self.used = set()

    def free_address(self):
        """A port that is free for TCP and for UDP: fronts that speak to each other take both."""
        import socket
        while True:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                    socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind((self.host, 0))
                address = tcp.getsockname()
                try:
                    udp.bind(address)
                except OSError:
                    continue
            if address not in self.used:
                self.used.add(address)
                return address

    async def listen(self, serve):
        async def guarded(reader, writer):
            task = asyncio.current_task()
            self.tasks.add(task)
            try:
                await serve(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.tasks.discard(task)
                writer.close()
        server = await asyncio.start_server(guarded, self.host, 0)
        self.servers.append(server)
        return server, server.sockets[0].getsockname()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def server(self, id, flavor, handle):
        return await Server(self, id, flavor, handle).open()

    async def journal(self, name="journal"):
        return await Journal(self, name).open()

    async def site(self, cache, caches=3, parents=1):
        """Caches of the location that answer by `cache`, parents and the origin, and a journal that lists them. The
        parents and the origin serve no front directly: caches ask them within the stand-in."""
        async def other(server, get, connection):
            return answer(404)
        site = Site()
        site.caches = [await self.server(f"s-000000a{i}", "std", cache) for i in range(caches)]
        site.parents = [await self.server(f"s-000000b{i}", "parent", other) for i in range(parents)]
        site.origin = await self.server("s-000000c0", "origin", other)
        site.all = site.caches + site.parents + [site.origin]
        return site

    async def front(self, name, site, journal, settings, own=None, seed="8c1f30d27a5be964"):
        if not journal.events:
            await journal.publish(hosts([member(server) for server in site.all], complete=True))
        config = {"journal": "%s:%d" % journal.address, "known": journal.known(), "seed": seed, "settings": settings}
        return Front(self, name, config, own)

    def clean_up(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, scenario):
    """Runs `await scenario(rig)`, which returns HELD or BROKEN; ends everything that was started."""
    rig = Rig(case)

    def end(code):
        rig.clean_up()
        rig.record.line("exit", code=code)
        sys.stdout.flush()
        # Open streams end with the process.
        os._exit(code)

    def too_long(*_):
        rig.record.say("could not run: it took too long")
        end(COULD_NOT_RUN)

    signal.signal(signal.SIGALRM, too_long)
    signal.signal(signal.SIGTERM, too_long)
    signal.alarm(TIME_LIMIT)
    try:
        code = asyncio.new_event_loop().run_until_complete(scenario(rig))
    except CouldNotRun as reason:
        rig.record.say(f"could not run: {reason}")
        code = COULD_NOT_RUN
    except BaseException:
        rig.record.say("could not run: " + traceback.format_exc())
        code = COULD_NOT_RUN
    end(code)
