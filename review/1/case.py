"""An acknowledged commit is lost: the promoted database lacks it, though a draining replica holds it."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import commits  # noqa: E402
import deployment  # noqa: E402

DEAF_AFTER_S = 1.0  # after the acknowledgement of the drain
CRASH_AFTER_S = 2.0  # after the replica went deaf
READ_BACK_AFTER_S = 2.0  # after the crash; the primary stays down to the end, 4.5 s (7 s at most)


async def play(make_site, trouble):
    s = make_site(sync=1)
    await s.start()
    primary, leaving, deaf = s.group.databases
    account = commits.Commits(s)
    await account.begin(2)

    await asyncio.wait_for(leaving.drain(), 10)  # planned work, with and without trouble
    await asyncio.sleep(DEAF_AFTER_S)
    if trouble:
        deaf.deaf = True
        s.record.add(deaf.id, "receives nothing from here on (replica_lag, deaf)")
    await asyncio.sleep(CRASH_AFTER_S)
    if trouble:
        primary.crash()  # replica_lag, deaf crash
    await asyncio.sleep(READ_BACK_AFTER_S)
    deaf.deaf = False  # 4 s after it began (6.5 s at most)
    await account.read_back()
    await asyncio.sleep(deployment.BOUNDS["drain_timeout_ms"] / 1000 - DEAF_AFTER_S - CRASH_AFTER_S
                        - READ_BACK_AFTER_S + 0.5)
    if leaving.role != "primary":
        await leaving.leave()
    return account.verdict()


# TROUBLE=0 plays the same without the disruption.
deployment.run(play, trouble=os.environ.get("TROUBLE", "1") != "0")
