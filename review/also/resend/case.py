"""DRAIN: a request whose answer was lost is sent once more to the same backend,
long after that backend's leaving was acknowledged."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib"))
import world as w  # noqa: E402

DRAIN_S = 2.0
# Requests that the leaving backend is at work on when it leaves take this long.
LONG_S = 3.0
# One answer in this many is lost (the share x of `answer_lost` is 0.03).
LOST_SHARE = 34


class LosingBackend(w.Backend):
    """Runs every request; the answers of a few are lost with a reset."""

    answers = 0

    async def answer(self, run, writer):
        await asyncio.sleep(LONG_S if "/long/" in run["target"] else self.work_s)
        self.answers += 1
        if w.TROUBLE and self.answers % LOST_SHARE == 0:
            self.world.record.say("answer_lost", request=run["request"], backend=self.id)
            self.reset(writer)
            return
        writer.write(self.good_answer(run))


async def case(world):
    entry = world.add_node("puget-a", "orders")
    left = world.add_node("puget-a", "catalog")
    other = world.add_node("puget-b", "catalog")
    await world.configure(7, {"read": ("shop.example", "/read/", "idempotent", "catalog", {"timeout": "8000ms"})})
    await world.start_nodes()
    leaving = LosingBackend(world, left, "catalog")
    for it in (leaving, w.Backend(world, entry, "orders"), w.Backend(world, other, "catalog")):
        await it.start()
    await asyncio.sleep(4)
    # Ordinary requests, so that connections are kept open.
    for i in range(10):
        await asyncio.gather(*(world.request(entry, "shop.example", f"/read/{i}/{n}") for n in range(6)))
    # Some longer ones; the backend reports `draining` meanwhile.
    left_over = LOST_SHARE - 3 - leaving.answers % LOST_SHARE
    for i in range(max(0, left_over)):
        await world.request(left, "shop.example", f"/read/more/{i}")
    jobs = [world.spawn(world.request(entry, "shop.example", f"/read/long/{n}", deadline_ms=8000)) for n in range(12)]
    await asyncio.sleep(0.5)
    leaving.state = "draining"
    if await leaving.tell(leaving.beat(), "draining") != 200:
        raise RuntimeError("no ack")
    acked_at = world.record.now()
    results = await asyncio.gather(*jobs)
    await asyncio.sleep(2)
    world.record.say("summary", long_200=sum(1 for it in results if it[1] == 200), of=len(results),
                     long_at_leaving=sum(1 for it in leaving.runs if "/long/" in it["target"]))
    return [f"request {it['request']} reached {leaving.id} {it['at'] - acked_at:.3f} s after the ack of its draining"
            for it in leaving.runs if it["at"] > acked_at + DRAIN_S]


w.main(pathlib.Path(__file__).parent, case)
