"""An acknowledged commit is lost: the promoted database lacks it, though a draining replica holds it."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import deployment  # noqa: E402

DEAF_AFTER_S = 1.0  # after the acknowledgement of the drain
CRASH_AFTER_S = 2.0  # after the replica went deaf
READ_BACK_AFTER_S = 2.0  # after the crash; the primary stays down to the end, 3.5 s (7 s at most)


async def write_forever(client, acknowledged, number):
    while True:
        number += 1
        item, data = f"{client.name}{number}", f"d{number}"
        _, signature, error = await client.ask(f"STORE {item} {data}")
        if signature and not error:
            acknowledged[item] = data
        else:
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.03)


async def play(make_site, trouble):
    s = make_site(sync=1)
    await s.start()
    primary, leaving, deaf = s.group.databases
    acknowledged = {}  # every item that a client was told is committed
    lost = []

    def compare(chosen):
        held = {}
        for _, changes in chosen.log:
            held.update(changes)
        missing = sorted(item for item in acknowledged if item not in held)
        s.record.add("check", f"{chosen.id} is promoted; acknowledged {len(acknowledged)}, missing {missing}")
        for d in s.group.databases:
            s.record.add("check", f"  {d.id}: {'runs' if d.running else 'is down'}, {d.state}, received "
                                  f"{d.received()}")
        lost.extend(missing)

    s.on_promotion = compare
    clients = [deployment.Client(s, f"w{i}", s.fronts[i], "strict") for i in range(3)]
    writers = [asyncio.create_task(write_forever(c, acknowledged, 0)) for c in clients]
    await asyncio.sleep(2)
    if len(acknowledged) < 20:
        raise deployment.CannotRun(f"only {len(acknowledged)} writes were acknowledged")

    await asyncio.wait_for(leaving.drain(), 10)  # planned work, with and without trouble
    await asyncio.sleep(DEAF_AFTER_S)
    if trouble:
        deaf.deaf = True
        s.record.add(deaf.id, "receives nothing from here on (replica_lag, deaf)")
    await asyncio.sleep(CRASH_AFTER_S)
    if trouble:
        primary.crash()  # replica_lag, deaf crash
    await asyncio.sleep(READ_BACK_AFTER_S)
    deaf.deaf = False  # 4 s after it began
    for w in writers:
        w.cancel()
    reader = deployment.Client(s, "r", s.fronts[0], "strict")
    for item in (lost or sorted(acknowledged))[-5:]:
        rows, signature, error = await reader.ask(f"FETCH {item}")
        s.record.add("check", f"{item} was acknowledged as {acknowledged[item]}; a read of it now gives rows {rows}, "
                              f"signature {signature or '-'}, error {error or '-'}")
    await asyncio.sleep(deployment.BOUNDS["drain_timeout_ms"] / 1000 - DEAF_AFTER_S - CRASH_AFTER_S
                        - READ_BACK_AFTER_S + 0.5)
    if leaving.role != "primary":
        await leaving.leave()
    s.record.add("check", f"acknowledged {len(acknowledged)} writes; the promoted database lacked {len(lost)}")
    return 1 if lost else 0


deployment.run(play)
