"""A machine and the primary lose power right after an acknowledged commit: is it in the promoted log?"""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from confirming2 import ConfirmingDatabase, after, missing, until  # noqa: E402
from deployment2 import CannotRun, Client, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 3        # that write at the same time
CUT_S = 5.0        # srv_cut, for_s (5)
DEAF_S = 6.5       # replica_lag, deaf, for_s 6.5
AWAY_S = 7.0       # srv_crash, dark primary, for_s 7.0; nothing is judged later
POWER_S = 4.0      # node_kill, power, for_s up to 4.2


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
    front = next(n for n in site.fronts() if n.zone == "z1")
    clients = [Client(site, front, f"c{i}") for i in range(CLIENTS)]
    acknowledged = []
    for client in clients:
        if not await client.open("orders"):
            raise CannotRun("no session")
    await asyncio.gather(*(write(c, acknowledged) for c in clients))  # opens connections

    # A database that replaces another one starts; it is cut from the core and control (srv_cut), not from the others.
    newcomer = ConfirmingDatabase(site, group, "i-svca3", "z3", "replica")
    newcomer.beating = not TROUBLE
    await newcomer.start()
    group.databases.append(newcomer)
    ends = [after(CUT_S, newcomer.end_cut)] if TROUBLE else []
    primary.send_log()
    site.record.note(newcomer.name, "starts" + (", cut from the core and control (srv_cut)" if TROUBLE else ""))
    await asyncio.sleep(0.8)
    if TROUBLE:
        replica.deaf = True
        ends.append(after(DEAF_S, replica.hear_again))
        site.record.note(replica.name, "receives nothing (replica_lag, deaf)")
        await asyncio.sleep(0.5)
    await asyncio.gather(*(write(c, acknowledged) for c in clients))
    if TROUBLE:  # zone z1 loses its power
        primary.crash()
        for node in [n for n in site.nodes if n.zone == "z1"]:
            node.signal(signal.SIGKILL)
            ends.append(after(POWER_S, node.start))
    site.record.note("case", f"{len(acknowledged)} commits acknowledged, the last {CLIENTS} at the end")
    held = newcomer.received()
    if len(acknowledged) != 2 * CLIENTS:
        raise CannotRun(f"only {len(acknowledged)} of {2 * CLIENTS} writes were acknowledged")
    if not TROUBLE:
        await asyncio.sleep(5)
        return []
    if not await until(lambda: group.primary() is not primary, AWAY_S - 0.5):
        site.record.note("case", "nobody was promoted while the primary was away")
        return []
    chosen = group.primary()
    lost = missing(chosen, acknowledged)
    if not lost:
        return []
    return [f"LOST: {len(lost)} of {len(acknowledged)} acknowledged commits ({', '.join(lost)}) are not in the log of "
            f"{chosen.name}, promoted for term {group.term}; {newcomer.name} had received {held}"]


run_case(case, HERE)
