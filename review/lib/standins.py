"""Stand-ins for the clients, the caches and the platform, written from PROTOCOL.md and DEPLOY.md, and the front itself
as a process of the deploy file. Loopback addresses and free ports only; standard library only."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SERVED, FAILED, REFUSED = 0, 5, 11
given_ports = set()


def unix_ms():
    return int(time.time() * 1000)


def deploy(name):
    """An entry of deploy/balancer.toml."""
    text = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
    return re.search(r'^%s = "(.*)"$' % name, text, re.M).group(1)


def free_port():
    """A port that is free for TCP and UDP, below the range from which the system gives ports to outgoing connections."""
    while True:
        port = random.randrange(20000, 32000)
        if port in given_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as s:
                    s.bind(("127.0.0.1", port))
        except OSError:
            continue
        given_ports.add(port)
        return port


class Record:
    """What was sent, answered and run: one JSON object a line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.time()

    def __call__(self, event, **fields):
        line = {"t": round(time.time() - self.start, 4), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Journal:
    """The journal service: all events after N, and each second the last number."""

    def __init__(self, first):
        self.last, self.events, self.subscribers = first, [], set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def publish(self, **event):
        self.last += 1
        self.events.append((self.last, json.dumps({"pos": self.last, **event})))
        for writer in list(self.subscribers):
            writer.write((self.events[-1][1] + "\n").encode())

    async def serve(self, reader, writer):
        try:
            line = (await reader.readline()).decode().split()
            after = int(line[1])
            for number, text in self.events:
                if number > after:
                    writer.write((text + "\n").encode())
            self.subscribers.add(writer)
            while True:
                writer.write(b"%d\n" % self.last)
                await writer.drain()
                await asyncio.sleep(1)
        except (ConnectionError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.subscribers.discard(writer)
            writer.close()


class Request:
    """A request that a cache has read whole."""

    def __init__(self, head, body, connection):
        first, *lines = head.decode("latin-1").split("\r\n")
        self.path = first.split(" ")[1]
        _, _, self.kind, self.item, self.part = self.path.split("/")
        self.headers = dict((n.lower(), v) for n, v in (line.split(": ", 1) for line in lines if line))
        self.body, self.connection, self.read_at = body, connection, time.time()
        self.txn = self.headers.get("x-req")
        self.key = self.headers.get("idempotency-key")


def answer(status, body=b"", **headers):
    """An answer; header names with _ in place of -."""
    head = "HTTP/1.1 %s\r\n" % status
    for name, value in headers.items():
        head += "%s: %s\r\n" % (name.replace("_", "-"), value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


def part_of(request, size=400):
    """The bytes of one part of one object: they name it, so that foreign ones are seen."""
    name = ("%s/%s/%s|" % (request.kind, request.item, request.part)).encode()
    return (name * (size // len(name) + 1))[:max(size, len(name))]


class Cache:
    """A cache, a parent or the origin: HTTP/1.1, one request at a time on a connection."""

    def __init__(self, name, handler):
        self.name, self.handler, self.connections = name, handler, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n"))[:-4]
                length = re.search(rb"\r\ncontent-length: (\d+)", head, re.I)
                body = await reader.readexactly(int(length.group(1))) if length else b""
                await self.handler(self, Request(head, body, number), writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Answer:
    def __init__(self, code, fields, body):
        self.code, self.fields, self.body, self.at = code, fields, body, time.time()


class Lost(Exception):
    """The connection ended with no whole answer."""


def fields_of(payload):
    count, at, fields = payload[0], 1, {}
    for _ in range(count):
        size = payload[at]
        name = payload[at + 1:at + 1 + size].decode()
        at += 1 + size
        (size,) = struct.unpack_from("<H", payload, at)
        fields[name] = payload[at + 2:at + 2 + size].decode()
        at += 2 + size
    return fields, payload[at:]


class Connection:
    """A client's connection to a front."""

    def __init__(self):
        self.stream, self.open, self.going_away, self.ended = 0, {}, False, False

    async def start(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())
        return self

    def usable(self):
        return not self.going_away and not self.ended and len(self.open) < 32

    async def read(self):
        try:
            while True:
                (length,) = struct.unpack("<I", await self.reader.readexactly(4))
                frame = await self.reader.readexactly(length)
                kind, stream, payload = frame[0], struct.unpack_from("<I", frame, 1)[0], frame[5:]
                if kind == 90:
                    self.going_away = True
                elif kind in (66, 81):
                    fields, body = fields_of(payload[1:])
                    waiting = self.open.pop(stream, None)
                    if waiting and not waiting.done():
                        waiting.set_result(Answer(payload[0], fields, body))
        except (ConnectionError, asyncio.IncompleteReadError) as e:
            self.ended = True
            for waiting in self.open.values():
                if not waiting.done():
                    waiting.set_exception(Lost(type(e).__name__))
            self.writer.close()

    def send(self, kind, fields, body=b""):
        """Writes a frame on a new stream; returns the future of its answer."""
        self.stream += 1
        payload = bytes([len(fields)])
        for name, value in fields.items():
            name, value = name.encode(), str(value).encode()
            payload += bytes([len(name)]) + name + struct.pack("<H", len(value)) + value
        frame = bytes([kind]) + struct.pack("<I", self.stream) + payload + body
        waiting = asyncio.get_event_loop().create_future()
        self.open[self.stream] = waiting
        self.writer.write(struct.pack("<I", len(frame)) + frame)
        return waiting

    async def ready(self):
        return (await self.send(80, {})).code == 0


class Front:
    """One front, started by `run` of the deploy file, as the platform starts it."""

    def __init__(self, folder, config, arguments="", name="n1"):
        self.name, self.port = name, free_port()
        self.address = "127.0.0.1:%d" % self.port
        config = {"name": name, "listen": self.address, **config}
        self.config = os.path.join(folder, name + ".json")
        with open(self.config, "w") as file:
            json.dump(config, file)
        home = os.path.join(folder, name)
        os.makedirs(home, exist_ok=True)
        env = dict(os.environ, BALANCER_NAME=name, BALANCER_LISTEN=self.address, BALANCER_CONFIG=self.config,
                   TMPDIR=home)
        self.log = open(os.path.join(folder, name + ".log"), "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy("run") + arguments], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)

    async def wait_ready(self, limit=30):
        end = time.time() + limit
        while time.time() < end:
            if self.process.poll() is not None:
                raise RuntimeError("front %s ended: %s" % (self.name, open(self.log.name).read()[-2000:]))
            try:
                connection = await Connection().start(self.port)
                is_ready = await asyncio.wait_for(connection.ready(), 2)
                connection.writer.close()
                if is_ready:
                    return
            except (OSError, Lost, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("front %s is not ready" % self.name)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()


def member(name, flavor, locality, port, phase="SERVING", size=4, cell=1):
    return {"id": name, "host_port": "127.0.0.1:%d" % port, "locality": locality, "flavor": flavor, "cell": cell,
            "phase": phase, "size": size, "up_since_ms": 0}


def request_class(name, repeat, goal, deadline, stretch=2.0, ttl=3.0, worth=1.0):
    return {"name": name, "repeat": repeat, "goal_time_s": goal, "aim_stretch": stretch, "deadline_s": deadline,
            "group": "all", "key_ttl_s": ttl, "late_worth": 0.15, "worth": worth, "stream": False}


def config(journal, members, classes, through, **limits):
    """The configuration of a small deployment, with the figures of hospital-desks-east."""
    return {
        "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "journal": "127.0.0.1:%d" % journal.port, "flow_bytes_per_s": 6000000, "link_bytes_per_s": 60000000,
        "log": "debug",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"revision": 1, "complete": True, "members": members}}]},
        "settings": {
            "balancers": 1, "locality": 1, "zones": ["main", "edge-1"], "host_types": ["std-a", "parent", "origin"],
            "weight_kind": "off", "registry_mode": "pushed", "classes": classes,
            "feedback": {"source": "off", "fields": []},
            "guarantees": {"cold_from": 0.16, "warm_after_s": 17.0, "overload_factor": 3.0, "overload_for_s": 3.0,
                           "drain_grace_s": 1.0, "answer_slack_s": 0.008},
            "limits": {"cancel": True, "conn_idle_s": 15.0, "connect_timeout_s": 0.4, "max_open": 20000,
                       "retry_after": True, "max_retry_after_s": 2.0, "send_cap": 8, "may_duplicate": False, **limits},
            "specifics": {"origin_kind": 2, "second_tier_kind": 1, "says": "all", "pass_through_ok": False,
                          "goes_through": through, "max_age_s": [0.0] * len(classes),
                          "stale_for_s": [0.0] * len(classes), "shares_fills": False, "purge_settles_s": 6.0,
                          "heed_within_s": 1.0, "upper_cold_from": 0.075, "parent_warms_in_s": 21.0,
                          "parent_fall_multiple": 2.0, "flow_kb_per_s": 6000.0, "zone_balancers": [0, 1],
                          "siblings": "location"}}}


def play(folder, scenario):
    """Runs a scenario in a temporary folder; ends with 1 if it returns True (the rule was broken), 0 if it returns
    False, and 2 if it could not run. All processes that it started are ended."""
    record, home, fronts = Record(folder), tempfile.mkdtemp(prefix="review-"), []
    trouble = os.environ.get("TROUBLE", "1")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))    # the front is ended below all the same

    def start(*arguments, **more):
        fronts.append(Front(home, *arguments, **more))
        return fronts[-1]

    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(record, home, start, trouble), 110))
        code = 1 if broken else 0
    except Exception as e:  # the case could not run
        record("could not run", error="%s: %s" % (type(e).__name__, e))
        print("could not run: %s: %s" % (type(e).__name__, e))
    finally:
        for front in fronts:
            front.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", home)
        else:
            shutil.rmtree(home, ignore_errors=True)
    record("end", trouble=trouble, exit=code)
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    os._exit(code)
