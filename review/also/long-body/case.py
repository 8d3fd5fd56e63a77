"""DENIED: proper requests whose bodies are larger than 1 MiB, but well within
the operator's limit, are refused for good."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib"))
import world as w  # noqa: E402

# The desired state's limit `max_body_bytes` is 67,108,864.
BODY_BYTES = 2_000_000 if w.TROUBLE else 900_000
REQUESTS = 40


async def case(world):
    entry = world.add_node("puget-a", "orders")
    backend = world.add_node("puget-a", "catalog")
    await world.configure(7, {"order": ("shop.example", "/order/", "non_idempotent", "catalog", {})})
    await world.start_nodes()
    for node, service in ((entry, "orders"), (backend, "catalog")):
        await w.Backend(world, node, service, work_s=0.01).start()
    await asyncio.sleep(3)
    answers = []
    for i in range(REQUESTS):
        answers.append(await world.request(entry, "shop.example", f"/order/{i}", "POST", body=b"x" * BODY_BYTES))
    statuses = collections.Counter(str(it[1]) for it in answers)
    world.record.say("summary", statuses=dict(statuses), runs=len(world.runs))
    refused = [it for it in answers if it[1] is not None and 300 <= it[1] < 500 and it[1] not in (408, 421, 429)]
    # The rule allows 5 and one in 500 of all requests.
    return [f"request {it[0]} was answered {it[1]} {it[3]!r}" for it in refused] if len(refused) > 5 + REQUESTS / 500 else []


w.main(pathlib.Path(__file__).parent, case)
