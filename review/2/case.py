"""Fault: one proper request with a long header ends the process that reads it."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import world as w  # noqa: E402

# The operator raises `max_header_bytes`; requests stay well within it.
MAX_HEADER_BYTES = 131072
HEADER_BYTES = 70000 if w.TROUBLE else 10000
# The rule counts machines on which processes end by themselves three times;
# a tenth of the machines, two at least.
ENDS, MACHINES = 3, 2


async def case(world):
    entries = [world.add_node("puget-a", "orders"), world.add_node("puget-b", "orders")]
    world.add_node("puget-a", "catalog")
    routes = {"order": ("shop.example", "/order/", "non_idempotent", "catalog", {}),
              "read": ("shop.example", "/read/", "idempotent", "orders", {})}
    await world.configure(7, routes)
    await world.start_nodes()
    for it in world.nodes:
        await w.Backend(world, it, it.service, work_s=0.3).start()
    await asyncio.sleep(3)
    await world.configure(8, routes, max_header_bytes=MAX_HEADER_BYTES)
    await asyncio.sleep(4)
    ends = {it.name: 0 for it in entries}
    orders, reads = [], []

    async def visit(node):
        for i in range(ENDS):
            # Orders of other requesters that are under way meanwhile.
            others = [world.spawn(world.request(node, "shop.example", f"/order/{node.name}/{i}/{n}", "POST", body=b"x"))
                      for n in range(5)]
            await asyncio.sleep(0.1)
            reads.append(await world.request(node, "shop.example", f"/read/{node.name}/{i}",
                                             extra={"Cookie": "c" * HEADER_BYTES}))
            orders.extend(await asyncio.gather(*others))
            try:
                await asyncio.wait_for(node.process.wait(), 1.0)
            except TimeoutError:
                continue
            else:
                ends[node.name] += 1
                world.record.say("node_ended", node=node.name, code=node.process.returncode)
                await asyncio.sleep(0.3)
                await node.start()  # The platform starts it again.
                await node.wait_ready()
                await asyncio.sleep(2)

    for it in entries:
        await visit(it)
    ran = {it["request"] for it in world.runs}
    lost = [it for it in orders if it[1] is None and it[0] in ran]
    world.record.say("summary", ends=ends, long_header_200=sum(1 for it in reads if it[1] == 200), of=len(reads),
                     orders=len(orders), orders_run_but_cut_without_answer=len(lost))
    ended = [name for name, n in ends.items() if n >= ENDS]
    if len(ended) < MACHINES:
        return []
    return [f"the process of {name} ended by itself {ends[name]} times, with no disruption there" for name in ended]


w.main(pathlib.Path(__file__).parent, case)
