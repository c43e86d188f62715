"""Some good answers are followed by a second copy of themselves some milliseconds late. The front has begun to use the
connection again by then and takes the copy for the answer to its next request: a client gets another object's bytes."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *

LATE = float(os.environ.get("LATE_MS", "15")) / 1000  # how much later the second copy comes
SHARE = 0.05  # of the answers
REQUESTS, EVERY = 2400, 0.008


async def scenario(rig):
    record, foreign, served = rig.record, [], 0

    async def cache(server, get, connection):
        await asyncio.sleep(0.003)
        out = answer(200, bytes_of(get.cls, get.object, get.part), X_Cache="TCP_HIT", Version='"v"',
                     Issued_At=int(time.time() * 1000) - 500)
        if TROUBLE and random.random() < SHARE:
            connection.writer.write(out)
            await asyncio.sleep(LATE)
            record.line("second-copy", server=server.id, connection=connection.number, id=get.id)
            connection.writer.write(out)
            return None
        return out

    site = await rig.site(cache)
    classes = [request_class("transfer-papers")]
    front = await rig.front("n1", site, await rig.journal(), settings(classes, [False], [0.0]))
    await front.start()
    clients = [await Client(rig, front, f"c{i}").open() for i in range(8)]

    async def ask(client, n):
        nonlocal served
        object, part = "%016x" % (n % 500 + 1), n % 7
        got = await client.ask("transfer-papers", object, part)
        if got.word == "served":
            served += 1
            if got.body != bytes_of("transfer-papers", object, part):
                foreign.append(got.id)
                record.line("foreign-bytes", id=got.id, asked=f"{object}/{part}", got=got.body[:40])

    asked = []
    for n in range(REQUESTS):
        asked.append(rig.spawn(ask(clients[n % len(clients)], n)))
        await asyncio.sleep(EVERY)
    await asyncio.gather(*asked)
    if served < REQUESTS / 2:
        raise CouldNotRun(f"only {served} of {REQUESTS} were served")
    record.say(f"{len(foreign)} of {served} served answers held another object's bytes")
    return BROKEN if foreign else HELD


play(__file__, scenario)
