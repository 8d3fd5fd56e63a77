"""DRAIN: a node that was killed and started again uses a backend that has left,
because a liveness report from before the leaving arrives late."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib"))
import world as w  # noqa: E402

DRAIN_S = 2.0
SETTLE_S = 3.0
# How late the one report is: the pages say "may arrive seconds late".
LATE_S = 2.5
# How long the backend goes on serving after its ack: `drain` "and a little
# longer (at times many seconds)".
SERVES_S = 9.0


async def case(world):
    entry = world.add_node("puget-a", "orders")
    left = world.add_node("puget-a", "catalog")
    other = world.add_node("puget-a", "catalog")
    await world.configure(7, {"read": ("shop.example", "/read/", "idempotent", "catalog", {})})
    await world.start_nodes()
    backends = [w.Backend(world, entry, "orders"), w.Backend(world, left, "catalog"), w.Backend(world, other, "catalog")]
    for it in backends:
        await it.start()
    leaving = backends[1]
    await asyncio.sleep(4)

    answers = []

    async def requests():
        n = 0
        while True:
            n += 1
            world.spawn(send(n))
            await asyncio.sleep(0.05)

    async def send(n):
        answers.append(await world.request(entry, "shop.example", f"/read/{n}"))

    traffic = world.spawn(requests())
    await asyncio.sleep(2)
    leaving.beats.cancel()
    late = leaving.beat()  # It is on its way from now on.
    sent_at = world.record.now()
    world.record.say("report_sent", id=leaving.id, kind="ready", seq=leaving.seq)
    await asyncio.sleep(0.2)
    leaving.state = "leaving"
    leaving.seq += 1
    status = await leaving.deregister()
    if status != 200:
        raise RuntimeError("no ack")
    acked_at = world.record.now()
    in_touch_at = 0.0
    if w.TROUBLE:
        await asyncio.sleep(0.3)
        await left.kill()
        await asyncio.sleep(0.4)
        await left.start()
        in_touch_at = world.record.now() + SETTLE_S
        await left.wait_ready()
    await asyncio.sleep(max(0.0, sent_at + LATE_S - world.record.now()))
    await leaving.tell(late, "ready, late")
    await asyncio.sleep(max(0.0, acked_at + SERVES_S - world.record.now()))
    traffic.cancel()
    await asyncio.sleep(0.5)
    before = [it for it in leaving.runs if it["at"] <= acked_at]
    after = [it for it in leaving.runs if it["at"] > max(acked_at + DRAIN_S, in_touch_at)]
    ok = sum(1 for it in answers if it[1] == 200)
    world.record.say("summary", answered_200=ok, of=len(answers), runs_before_ack=len(before),
                     runs_after_drain=len([it for it in leaving.runs if it["at"] > acked_at + DRAIN_S]),
                     judged=len(after))
    if not before or ok < len(answers) * 0.8:
        raise RuntimeError("the backend got no requests before it left, or too few were served")
    return [f"request {it['request']} reached {leaving.id} {it['at'] - acked_at:.3f} s after the ack of its leaving"
            for it in after]


w.main(pathlib.Path(__file__).parent, case)
