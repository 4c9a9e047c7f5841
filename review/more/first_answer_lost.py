"""A service is never served: the one answer that control needs to found its group is lost."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import deployment  # noqa: E402

ASKED = 120
PAUSE_S = 0.25


def lose_first_status():
    """The first STATUS that any database runs gets no answer; its connection stays open."""
    answer = deployment.Connection.run_in_slot
    lost = []

    async def run_in_slot(self, statement, verb, rest, text):
        if verb == "STATUS" and not lost:
            lost.append(self)
            self.db.site.record.add(self.db.id, f"runs STATUS for {self.who}; the answer is lost (answer_lost)")
            return
        await answer(self, statement, verb, rest, text)

    deployment.Connection.run_in_slot = run_in_slot


async def play(make_site, trouble):
    if trouble:
        lose_first_status()
    s = make_site()
    await s.start()
    client = deployment.Client(s, "w", s.fronts[0], "strict")
    served = 0
    for i in range(ASKED):
        _, signature, error = await client.ask(f"STORE item{i} data{i}")
        served += bool(signature and not error)
        await asyncio.sleep(PAUSE_S)
    s.record.add("check", f"served {served} of {ASKED}")
    return 0 if served else 1


deployment.run(play)
