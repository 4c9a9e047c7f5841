"""Rude clients send floods of statements ahead of the answers: does the daemon hand back the processor?"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand2"))
from deployment2 import CannotRun, Client, http, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUDE = int(os.environ.get("RUDE", "3"))
FLOOD_BYTES = 2 << 20
DEADLINE_S = 8.0


async def flood(site, node, name):
    client = Client(site, node, name)
    if not await client.open("orders"):
        raise CannotRun("the rude client is turned away")
    line = b"QUERY 1 SET a 1\r\n"
    client.writer.write(b"QUERY 0 FETCH x\r\n" + line * (FLOOD_BYTES // len(line)))
    site.record.note(name, f"sends 1 FETCH and {FLOOD_BYTES // len(line)} SET")
    while True:
        if not await client.reader.read(1 << 16):
            return


async def watch(site, node, broken, until):
    """The platform's probe, once a second."""
    missed = 0
    while time.monotonic() < until:
        began = time.monotonic()
        ready = await node.is_ready(timeout=1.0)
        missed = 0 if ready else missed + 1
        site.record.note("platform", f"readiness of {node.name}: {ready}, {missed} missed in a row")
        await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - began)))


async def case(site):
    site.add_group("svca")
    await site.start()
    await site.configure([site.route("r-1", "orders", "svca")])
    await site.until_ready()
    front = site.fronts()[0]
    await site.until_served(front, "orders")
    sound = Client(site, front, "sound")
    await sound.open("orders")
    await sound.ask("FETCH a")
    broken = []
    watching = asyncio.create_task(watch(site, front, broken, time.monotonic() + 30))
    floods = []
    if TROUBLE:
        floods = [asyncio.create_task(flood(site, front, f"rude{i}")) for i in range(RUDE)]
    await asyncio.sleep(0.3)
    worst = 0.0
    until = time.monotonic() + 25
    while time.monotonic() < until:
        began = time.monotonic()
        _, done, error, state = await sound.ask("FETCH a", timeout=60.0)
        worst = max(worst, time.monotonic() - began)
        if state is None:
            await sound.open("orders")
        await asyncio.sleep(0.2)
    site.record.note("case", f"longest wait of the sound client: {worst:.1f} s")
    print(f"longest wait {worst:.1f}")
    watching.cancel()
    for f in floods:
        f.cancel()
    return [f"waited {worst:.1f} s"] if worst > DEADLINE_S else []


run_case(case, HERE)
