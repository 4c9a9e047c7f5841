"""A bounded_staleness route with max_staleness_ms 0: does a read hold every commit acknowledged before it?"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from deployment2 import CannotRun, Client, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 40


async def case(site):
    site.add_group("svca")
    usual = [site.route("r-1", "orders", "svca", kind="primary"),
             site.route("r-2", "polls", "svca", kind="bounded_staleness", staleness=1500)]
    changed = [usual[0], site.route("r-2", "polls", "svca", kind="bounded_staleness", staleness=0)]
    await site.start()
    await site.configure(usual)
    await site.until_ready()
    for node in site.fronts():
        await site.until_served(node, "orders")
    if TROUBLE:
        await site.configure(changed)
    await asyncio.sleep(3.5)  # config_apply_ms
    staleness_s = 0.0 if TROUBLE else 1.5
    writer = Client(site, site.fronts()[0], "writer")
    readers = [Client(site, node, f"reader{i}") for i, node in enumerate(site.fronts())]
    if not await writer.open("orders"):
        raise CannotRun("no session")
    for reader in readers:
        await reader.open("polls")
        await reader.ask("FETCH k")
    broken, acked = [], []
    for i in range(ROUNDS):
        _, done, error, _ = await writer.ask(f"STORE k {i}")
        if done and not error:
            acked.append((site.record.now(), i))
        await asyncio.sleep(0.02)  # well after the acknowledgement, well before the replicas have it
        for reader in readers:
            sent = site.record.now()
            rows, done, error, _ = await reader.ask("FETCH k")
            owed = max((n for at, n in acked if at < sent - staleness_s), default=-1)
            if done and not error and (rows == ["none"] and owed >= 0 or rows != ["none"] and int(rows[0]) < owed):
                broken.append(f"STALE: {reader.name} got {rows} with {done}; STORE k {owed} was acknowledged before")
        await asyncio.sleep(0.05)
    return broken


run_case(case, HERE)
