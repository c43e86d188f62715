"""Two fronts share what they know. A mid cache is removed; a front that is restarted after that is told so by its
list. It then takes the word of the other front, which the news has not reached yet, and names the removed mid cache as
the source of fills."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *

GRACE, SLACK = 0.5, 0.05  # of the rule; each limit is 50 ms longer on sockets
NOTICE = 4.5  # how late the list's changes reach the front that is not restarted
DOWN = 1.0  # how long the other front is down


async def scenario(rig):
    record, by_front = rig.record, {}

    async def cache(server, get, connection):
        await asyncio.sleep(0.005)
        return answer(200, bytes_of(get.cls, get.object, get.part), X_Cache="TCP_MISS", Version='"v"', Source_Ms=4,
                      Issued_At=int(time.time() * 1000) - 500)

    site = await rig.site(cache, parents=2)
    journals = [await rig.journal(f"of-n{i}") for i in range(2)]
    terms = settings([request_class("video")], [False], [0.0], zone_fronts=2, fronts=2, drain_grace_s=GRACE, tell=True)
    ports = [rig.free_address() for _ in range(2)]
    fronts = []
    for i in range(2):
        own = ('turns { order: FIRST_COME }\nfleet {\n  listen: "%s:%d"\n  contact: "%s:%d"\n  contact: "%s:%d"\n'
               '  zone: "east"\n  replica { }\n}\n' % (*ports[i], *ports[0], *ports[1]))
        fronts.append(await rig.front(f"n{i}", site, journals[i], terms, own, seed="8c1f30d27a5be96%d" % i))
    await asyncio.gather(*[front.start() for front in fronts])

    async def videos(front, client):
        while not client.closed:
            n = random.randrange(1, 400)
            rig.spawn(ask(front, client, "%016x" % n))
            await asyncio.sleep(0.03)

    async def ask(front, client, object):
        got = await client.ask("video", object)
        by_front[got.id] = front.name

    for front in fronts:
        rig.spawn(videos(front, await Client(rig, front, front.name).open()))
    await asyncio.sleep(4)

    removed = site.parents[0]
    await fronts[1].kill()
    gone = time.time()
    record.line("removed", server=removed.id)
    news = hosts([member(removed, "DELETED")])
    if not TROUBLE:  # without the disruption the news reaches the other front before this one returns
        await journals[0].publish(news)
    await asyncio.sleep(DOWN)
    # Events are numbered from 1 at each start of a front: the first holds the whole list, without the removed one.
    left = [member(server) for server in site.all if server is not removed]
    journals[1].events = [hosts(left, complete=True)]
    fronts[1].config["known"] = journals[1].known()
    told = time.time()
    await fronts[1].start()
    rig.spawn(videos(fronts[1], await Client(rig, fronts[1], "n1-again").open()))
    await asyncio.sleep(gone + NOTICE - time.time())
    until = time.time()
    if TROUBLE:
        await journals[0].publish(news)
    await asyncio.sleep(2)
    sends = [get for server in site.caches for get in server.gets if by_front.get(get.id) == "n1"]
    after = [get for get in sends if told + GRACE + SLACK < get.first_byte < until]
    late = [get for get in after if get.upstream == removed.id]
    for get in late:
        record.line("named-as-source", source=removed.id, id=get.id, after_told_ms=ms(get.first_byte - told))
    if not after or not any(get.upstream == removed.id for get in sends if get.first_byte < gone):
        raise CouldNotRun("the removed mid cache was no source before, or the front sent nothing after")
    record.say(f"{len(late)} of {len(after)} sends of the restarted front named the removed mid cache as source")
    return BROKEN if late else HELD


play(__file__, scenario)
