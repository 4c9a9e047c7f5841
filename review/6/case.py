"""A route is moved to another service and back: does a session still read its own write?"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from deployment2 import CannotRun, Client, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
USUAL_LAG_S = 0.06  # "replicas 60 ms behind"
LAG_FACTOR = 60     # replica_lag, x = 60


async def stores(client, text):
    _, done, error, _ = await client.ask(text)
    if not done or error:
        raise CannotRun(f"{client.name}: {text} is not acknowledged: {error}")


async def reads(site, client, item, service, times):
    """Reads an item whose write was acknowledged to this session; returns what breaks STALE."""
    broken = []
    for _ in range(times):
        rows, done, error, _ = await client.ask(f"FETCH {item}")
        if done and not error and rows != [client.name]:
            broken.append(f"STALE: {client.name} was acknowledged STORE {item} {client.name} on {service}, and "
                          f"its later read got {rows} with signature {done}")
        await asyncio.sleep(0.02)
    return broken


async def case(site):
    first, second = site.add_group("svca"), site.add_group("svcb")
    here = [site.route("r-1", "orders", "svca"), site.route("r-9", "other", "svcb")]
    there = [site.route("r-2", "orders", "svcb"), site.route("r-9", "other", "svcb")]
    await site.start()
    await site.configure(here)
    await site.until_ready()
    for node in site.fronts():
        await site.until_served(node, "orders")
        await site.until_served(node, "other")
    sessions, resting = [], []
    for i, node in enumerate(site.fronts() * 2):
        for kind in (sessions, resting):
            client = Client(site, node, f"{'moved' if kind is sessions else 'rests'}{i}")
            if not await client.open("orders"):
                raise CannotRun("a session is not opened")
            kind.append(client)
    await asyncio.sleep(3.0)  # the writes above are older than any staleness bound

    if TROUBLE:
        for database in first.databases:
            database.lag_s = USUAL_LAG_S * LAG_FACTOR
        site.record.note("case", f"replica_lag: replicas of svca apply {LAG_FACTOR} times as late")
    for client in sessions + resting:
        await stores(client, f"STORE k-{client.name} {client.name}")
    if TROUBLE:
        await site.configure(there)
        await asyncio.sleep(0.5)
    for client in sessions:
        await client.ask("FETCH anything")
    if TROUBLE:
        await site.configure(here)
        await asyncio.sleep(0.3)
    broken = []
    for client in sessions:
        broken += await reads(site, client, f"k-{client.name}", "svca", 3)
    # Sessions that asked nothing while the route was away keep their own writes: not part of the verdict.
    for client in resting:
        kept = await reads(site, client, f"k-{client.name}", "svca", 1)
        site.record.note("case", f"{client.name} made no statement meanwhile: " + ("stale" if kept else "held"))
    return broken


run_case(case, HERE)
