"""A replica falls silent in the middle of a burst of writes, and the primary crashes after it."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from confirming2 import ConfirmingDatabase, after, missing, until  # noqa: E402
from deployment2 import CannotRun, Client, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 12       # that write at the same time
WORK_S = 0.039     # with the usual 6 ms the 45 of the sheet's longest
DEAF_AFTER = 6     # commits of the burst that it has received
CRASH_AFTER_S = 1.0
CUT_S = 5.0        # srv_cut, for_s (5)
DEAF_S = 6.5       # replica_lag, deaf, for_s 6.5
AWAY_S = 7.0       # srv_crash, dark primary, for_s 7.0; nothing is judged later


async def write(client, acknowledged):
    _, done, error, _ = await client.ask(f"STORE k-{client.name} 1")
    if done and not error:
        acknowledged.append(f"{client.name}x{client.count}")


async def case(site):
    group = site.add_group("svca", zones=("z1", "z2"), kind=ConfirmingDatabase)
    primary, replica = group.databases
    await site.start()
    await site.configure([site.route("r-1", "orders", "svca", kind="primary")],
                         services=[site.service("svca", sync_replica_count=1)])
    await site.until_ready()
    for node in site.fronts():
        await site.until_served(node, "orders")
    fronts = site.fronts()
    clients = [Client(site, fronts[i % len(fronts)], f"c{i}") for i in range(CLIENTS)]
    warm, acknowledged = [], []
    for client in clients:
        if not await client.open("orders"):
            raise CannotRun("no session")
    await asyncio.gather(*(write(c, warm) for c in clients))  # opens connections

    # A database that replaces another one starts; it is cut from the core and control (srv_cut), not from the others.
    newcomer = ConfirmingDatabase(site, group, "i-svca3", "z3", "replica")
    newcomer.beating = not TROUBLE
    await newcomer.start()
    group.databases.append(newcomer)
    ends = [after(CUT_S, newcomer.end_cut)] if TROUBLE else []
    primary.send_log()
    site.record.note(newcomer.name, "starts" + (", cut from the core and control (srv_cut)" if TROUBLE else ""))
    await asyncio.sleep(1.0)
    primary.work_s = WORK_S
    before = len(replica.log)
    writes = asyncio.gather(*(write(c, acknowledged) for c in clients))
    if not await until(lambda: len(replica.log) >= before + DEAF_AFTER, 2.0, every=0.005):
        raise CannotRun("the burst does not reach the replica")
    if TROUBLE:
        replica.deaf = True
        ends.append(after(DEAF_S, replica.hear_again))
        site.record.note(replica.name, f"receives nothing more (replica_lag, deaf), its log ends at {replica.received()}")
    await writes
    site.record.note("case", f"{len(acknowledged)} of {CLIENTS} writes of the burst acknowledged")
    if len(acknowledged) < CLIENTS / 2:
        raise CannotRun("too few writes were acknowledged")
    await asyncio.sleep(CRASH_AFTER_S)
    if not TROUBLE:
        return []
    held = newcomer.received()
    primary.crash()
    if not await until(lambda: group.primary() is not primary, AWAY_S - 0.5):
        site.record.note("case", "nobody was promoted while the primary was away")
        return []
    chosen = group.primary()
    lost = missing(chosen, acknowledged + warm)
    if not lost:
        return []
    return [f"LOST: {len(lost)} acknowledged commits ({', '.join(lost)}) are not in the log of {chosen.name}, promoted "
            f"for term {group.term}; {newcomer.name} had received {held}"]


run_case(case, HERE)
