"""A new configuration moves discovery to a service that is slow: it begins to tell 3.2 s after it was asked. The front
drops each connection to it after 2.2 s and asks anew, so it is never told that a cache drains, and goes on sending
there."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *

GRACE, SLACK, TOLD = 1.0, 0.05, 7.0  # of the rule; each limit is 50 ms longer on sockets; told 7 s later at the latest
SLOW = 3.2  # how long the journal service needs until it begins to tell
AFTER = 24.0  # how long is looked at from the start of the drain


async def scenario(rig):
    record = rig.record

    async def cache(server, get, connection):
        await asyncio.sleep(0.005)
        if server.draining:  # it turns new requests away, and they never ran
            return answer(503, X_Not_Run="1")
        return answer(200, bytes_of(get.cls, get.object, get.part), X_Cache="TCP_HIT", Version='"v"',
                      Issued_At=int(time.time() * 1000) - 500)

    site = await rig.site(cache)
    for server in site.all:
        server.draining = False
    first, second = await rig.journal("first"), await rig.journal("second")
    classes = [request_class("transfer-papers")]
    front = await rig.front("n1", site, first, settings(classes, [False], [0.0], drain_grace_s=GRACE))
    second.events = list(first.events)
    await front.start()
    client = await Client(rig, front).open()

    async def papers():
        while True:
            rig.spawn(client.ask("transfer-papers", "%016x" % random.randrange(1, 200)))
            await asyncio.sleep(0.05)

    rig.spawn(papers())
    await asyncio.sleep(2)
    if TROUBLE:
        second.first_delay = SLOW
    front.config["journal"] = "%s:%d" % second.address
    front.write_config()
    front.signal(signal.SIGHUP)
    await asyncio.sleep(1.5)  # the service at the old address has closed by then
    first.closed = True
    victim = site.caches[0]
    victim.draining = True
    drained = time.time()
    await second.publish(hosts([member(victim, "DRAINING")]))
    await asyncio.sleep(AFTER)
    limit = drained + TOLD + GRACE + SLACK
    late = [get for get in victim.gets if get.first_byte > limit]
    for get in late:
        record.line("sent-to-draining", server=victim.id, id=get.id, after_drain_ms=ms(get.first_byte - drained))
    if not any(get.first_byte < drained for get in victim.gets):
        raise CouldNotRun("the cache got nothing before it drained")
    record.say(f"{len(late)} sends to a draining cache later than {TOLD} + {GRACE} + {SLACK} s after its drain")
    return BROKEN if late else HELD


play(__file__, scenario)
