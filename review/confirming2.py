"""Databases of a service with `sync_replica_count` 1: a commit is acknowledged once one replica has received it."""
import asyncio
import time

from deployment2 import Database, DatabaseSession


class ConfirmingDatabase(Database):
    def __init__(self, *what):
        super().__init__(*what)
        self.up = True
        self.deaf = False  # replica_lag, how = "deaf": receives nothing
        self.slots = asyncio.Semaphore(3)  # of the sheet
        self.work_s = 0.0  # beside the usual time of a statement
        self.session = ConfirmingSession

    def send_log(self):
        for other in self.group.databases:
            if other is not self and other.role == "replica":
                asyncio.create_task(self.send_log_to(other))

    async def send_log_to(self, other):
        await asyncio.sleep(0.001)
        sends = self.up and self.role == "primary" and other.up and not other.deaf
        if sends and len(other.log) < len(self.log):
            other.log = list(self.log)
            length = len(other.log)
            await asyncio.sleep(other.lag_s)
            other.applied = max(other.applied, min(length, len(other.log)))

    async def commit(self, ident, item, data):
        """Returns False if the database ends first; waits for as long as no replica has received it."""
        number = (self.log[-1][1] if self.log else 0) + 1
        entry = (self.group.term, number, ident, item, data)
        self.log.append(entry)
        self.applied = len(self.log)
        while self.up and self.role == "primary":
            if any(entry in d.log for d in self.group.databases if d is not self and d.up):
                return True
            self.send_log()
            await asyncio.sleep(0.002)
        return False

    def hear_again(self):
        self.deaf = False
        self.site.record.note(self.name, "receives again")

    def end_cut(self):
        self.beating = True
        self.site.record.note(self.name, "reaches control again")

    def crash(self):
        self.up = self.beating = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.site.record.note(self.name, f"crashes, its log ends at {self.received()}")


class ConfirmingSession(DatabaseSession):
    async def run(self, ident, verb, rest, whole):
        db = self.db
        if verb != "STORE" or self.state != "I" or db.role != "primary":
            return await super().run(ident, verb, rest, whole)
        item, _, data = rest.partition(" ")
        async with db.slots:
            await asyncio.sleep(db.work_s)
            if not await db.commit(ident, item, data):
                return None
        holders = [d.name for d in db.group.databases if any(e[2] == ident for e in d.log)]
        db.site.record.note(db.name, f"ran {ident} [{whole}], received by {', '.join(holders)}")
        return self.send(f"COMPLETE sig.{db.name}.{ident}", self.ready())


def after(seconds, action):
    """Ends a disruption when its time is over, whatever has come of it."""
    async def wait():
        await asyncio.sleep(seconds)
        result = action()
        if asyncio.iscoroutine(result):
            await result

    return asyncio.create_task(wait())


def missing(chosen, acknowledged):
    """The acknowledged commits that the log of the promoted database lacks."""
    held = {entry[2] for entry in chosen.log}
    return [ident for ident in acknowledged if ident not in held]


async def until(condition, patience, every=0.05):
    end = time.monotonic() + patience
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(every)
    return False
