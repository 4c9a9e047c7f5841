"""Writers that keep account of what was acknowledged, and the look at a database that is promoted."""
import asyncio

import deployment

WRITERS = 3


class Commits:
    def __init__(self, site):
        self.site = site
        self.acknowledged = {}  # every item that a client was told is committed
        self.lost = []
        site.on_promotion = self.compare
        clients = [deployment.Client(site, f"w{i}", site.fronts[i], "strict") for i in range(WRITERS)]
        self.tasks = [asyncio.create_task(self.write_forever(c)) for c in clients]

    async def write_forever(self, client):
        number = 0
        while True:
            number += 1
            item, data = f"{client.name}{number}", f"d{number}"
            _, signature, error = await client.ask(f"STORE {item} {data}")
            if signature and not error:
                self.acknowledged[item] = data
            else:
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.03)

    def compare(self, chosen):
        """Called as the platform carries out a promotion: the database leads with what it has received."""
        held = {}
        for _, changes in chosen.log:
            held.update(changes)
        missing = sorted(item for item in self.acknowledged if item not in held)
        record = self.site.record
        record.add("check", f"{chosen.id} is promoted; acknowledged {len(self.acknowledged)}, missing {missing}")
        for d in self.site.group.databases:
            record.add("check", f"  {d.id}: {'runs' if d.running else 'is down'}, {d.state}, received "
                                f"{d.received()}, cut from {sorted(d.cut_from)}")
        self.lost.extend(missing)

    async def begin(self, seconds):
        await asyncio.sleep(seconds)
        if len(self.acknowledged) < 20:
            raise deployment.CannotRun(f"only {len(self.acknowledged)} writes were acknowledged")

    async def read_back(self):
        """Stops the writers, and reads some of what was acknowledged: of the lost ones, if there are any."""
        for task in self.tasks:
            task.cancel()
        reader = deployment.Client(self.site, "r", self.site.fronts[0], "strict")
        for item in (self.lost or sorted(self.acknowledged))[-5:]:
            rows, signature, error = await reader.ask(f"FETCH {item}")
            self.site.record.add("check", f"{item} was acknowledged as {self.acknowledged[item]}; a read of it now "
                                          f"gives rows {rows}, signature {signature or '-'}, error {error or '-'}")

    def verdict(self):
        self.site.record.add("check", f"acknowledged {len(self.acknowledged)} writes; the promoted database "
                                      f"lacked {len(self.lost)}")
        return 1 if self.lost else 0
