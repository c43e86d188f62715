"""A new configuration moves discovery to a service that is slow: it begins to tell 3.2 s after it was asked. The front
drops each connection to it after 2.2 s and asks anew, so it is never told anything: clients go on being served from
copies that are older than a purge, and a draining cache goes on being sent lookups."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *

HEED, GRACE, SLACK = 0.5, 0.25, 0.05  # of the rules on purges and drains; each limit is 50 ms longer on sockets
TOLD = 4.0  # what the journal service has to tell counts as told so long after SIGHUP
TOLD_AT_LAST = 7.0  # an event counts as told so long after it at the latest; the check of the drain uses this
WATCHED = 24.0  # from SIGHUP; the service is slow for so long
SLOW = 3.2  # how long the journal service needs until it begins to tell
GROUPS, PURGED = 20, 8  # groups of objects, and how many of them are purged at once
PURGE_AFTER = 0.4  # from SIGHUP
KEPT = 5.8  # caches drop copies from before a purge by themselves after so long; they have 6 s
OBJECTS = 200


async def scenario(rig):
    record, purged_at, copies, old = rig.record, {}, {}, []
    limit = [float("inf")]

    def group_of(object):
        return int(object, 16) % GROUPS

    def version(object, issued):
        return int(issued >= purged_at.get(group_of(object), float("inf")))

    async def cache(server, get, connection):
        if server.draining:  # it turns new requests away, and they never ran
            return answer(503, X_Not_Run="1")
        now, key = time.time(), (server.id, get.object)
        issued, purged = copies.get(key), purged_at.get(group_of(get.object))
        oldest = get.int("oldest-ms")
        if issued and purged and issued < purged and now > purged + KEPT:
            issued = None
        if issued and oldest and (now - issued) * 1000 > oldest:
            issued = None
        note = "TCP_HIT"
        if issued is None:
            if get.upstream is None:
                return answer(404)
            await asyncio.sleep(0.03)
            issued, note = time.time(), "TCP_MISS_ROOT"
            copies[key] = issued
        if purged and issued < purged and get.first_byte > limit[0]:
            old.append(get)
            record.line("older-than-purge", server=server.id, id=get.id, copy_before_purge_ms=ms(purged - issued),
                        sent_after_told_ms=ms(get.first_byte - limit[0] + HEED + SLACK))
        await asyncio.sleep(0.005)
        body = bytes_of(get.cls, get.object, get.part) + b"version %d" % version(get.object, issued)
        return answer(200, body, X_Cache=note, Source_Ms=30, Issued_At=int(issued * 1000),
                      Version='"%s-%d"' % (get.object, version(get.object, issued)))

    site = await rig.site(cache)
    for server in site.all:
        server.draining = False
    first, second = await rig.journal("first"), await rig.journal("second")
    classes = [request_class("map-packs", deadline_s=5.0, goal_s=0.6)]
    terms = settings(classes, [False], [0.0], drain_grace_s=GRACE, heed_s=HEED, direct=True)
    front = await rig.front("n1", site, first, terms)
    second.events = list(first.events)
    await front.start()
    client = await Client(rig, front).open()
    served_old = []

    async def ask(object):
        got = await client.ask("map-packs", object, limit_ms=2500, group=group_of(object))
        if got.sent > limit[0] and got.body.endswith(b"version 0") and group_of(object) < PURGED:
            served_old.append(got.id)

    async def packs():
        while True:
            rig.spawn(ask("%016x" % random.randrange(1, OBJECTS + 1)))
            await asyncio.sleep(0.02)

    for n in range(1, OBJECTS + 1):  # fills the caches
        rig.spawn(ask("%016x" % n))
        await asyncio.sleep(0.02)
    rig.spawn(packs())
    await asyncio.sleep(2)
    if TROUBLE:
        second.first_delay = SLOW
    front.config["journal"] = "%s:%d" % second.address
    front.write_config()
    front.signal(signal.SIGHUP)
    reload = time.time()
    await asyncio.sleep(PURGE_AFTER)
    for group in range(PURGED):
        purged_at[group] = int(time.time() * 1000) / 1000
        await second.publish({"expire": {"set": group, "stamp": int(purged_at[group] * 1000)}})
    victim, drained = site.caches[0], time.time()
    victim.draining = True
    await second.publish(hosts([member(victim, "DRAINING")]))
    await asyncio.sleep(reload + 1.5 - time.time())  # the service at the old address closes then
    first.closed = True
    limit[0] = reload + TOLD + HEED + SLACK
    await asyncio.sleep(reload + WATCHED - time.time())
    if len(copies) < OBJECTS or not any(get.first_byte < drained for get in victim.gets):
        raise CouldNotRun("the caches were not filled")
    late = [get for get in victim.gets if get.first_byte > drained + TOLD_AT_LAST + GRACE + SLACK]
    for get in late:
        record.line("sent-to-draining", server=victim.id, id=get.id, after_drain_ms=ms(get.first_byte - drained))
    record.say(f"purge: {len(old)} answers from older copies to lookups sent over {TOLD} + {HEED} + {SLACK} s after SIGHUP, "
               f"{len(served_old)} to clients that asked as late; drain: {len(late)} sends over {TOLD_AT_LAST} + {GRACE} "
               f"+ {SLACK} s after it")
    return BROKEN if old or late else HELD


play(__file__, scenario)
