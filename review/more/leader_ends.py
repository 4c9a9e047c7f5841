"""The leading control process ends by itself: it promotes a replica that has just left."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import deployment  # noqa: E402

DARK_BEFORE_S = 0.5  # the other replica goes dark, then the primary crashes
LEAVES_AFTER_S = 0.47  # the draining replica ends, after the primary's crash
WATCHED_S = 6.0


async def play(make_site, trouble):
    s = make_site()
    await s.start()
    primary, leaving, other = s.group.databases
    await asyncio.sleep(1)
    await asyncio.wait_for(leaving.drain(), 10)  # planned work, with and without trouble
    await asyncio.sleep(deployment.BOUNDS["drain_timeout_ms"] / 1000)
    if trouble:
        other.dark = True
        s.record.add(other.id, "answers nothing from here on (srv_crash, dark replica)")
        await asyncio.sleep(DARK_BEFORE_S)
        primary.crash()
        await asyncio.sleep(LEAVES_AFTER_S)
    await leaving.leave()
    await asyncio.sleep(WATCHED_S)
    ended = [(m.name, m.ended) for m in s.cores + s.fronts if m.ended]
    s.record.add("check", f"processes that ended by themselves: {ended}")
    return 1 if ended else 0


deployment.run(play)
