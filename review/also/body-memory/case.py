"""One request with a body within the operator's limit arrives at a machine
while other requests are in progress there."""

import asyncio
import pathlib
import resource
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib"))
import mesh

HOST = "orders.example"
ORDERS = "/orders77/"
CALLERS = 12
# `memory_mb` of the site's machines, and a body below `max_body_bytes`.
MEMORY_MB = 110
BODY_BYTES = 60_000_000
PAGE_BYTES = resource.getpagesize()


class Slow(mesh.Backend):
    async def work(self, run, writer, head):
        await asyncio.sleep(0.29)
        await self.answer(run, writer)


def resident_mb(machine):
    with open(f"/proc/{machine.process.pid}/statm", encoding="ascii") as it:
        return int(it.read().split()[1]) * PAGE_BYTES / 1e6


async def limit_memory(machine):
    """The platform kills a process that exceeds its memory."""
    while machine.process.returncode is None:
        used = resident_mb(machine)
        if used > MEMORY_MB:
            machine.fleet.record.write(
                f"node {machine.name} uses {used:.0f} MB of {MEMORY_MB} MB")
            machine.send_signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.005)


async def play(fleet):
    entry = fleet.add_machine("rvk-a", "reykjavik", "orders", backend_type=Slow)
    routes = {"r-orders": mesh.route("orders", HOST, ORDERS, "non_idempotent",
                                     "1500ms", "800ms")}
    await fleet.start(routes, ["orders"])
    await fleet.wait_served(entry, "POST", HOST, f"{ORDERS}confirm", 12)
    fleet.requests.clear()
    limits = [asyncio.create_task(limit_memory(it)) for it in fleet.machines]
    end = fleet.record.now() + 4

    async def requester():
        connection = mesh.Connection(entry)
        while fleet.record.now() < end:
            try:
                await connection.call("POST", HOST, f"{ORDERS}confirm", 3000,
                                  b"order")
            except OSError:
                pass
            await asyncio.sleep(0.1)
        connection.close()

    callers = [asyncio.create_task(requester()) for _ in range(CALLERS)]
    await asyncio.sleep(1.5)
    body = b"x" * (BODY_BYTES if mesh.TROUBLE else 6000)
    connection = mesh.Connection(entry)
    out = await connection.call("POST", HOST, f"{ORDERS}upload", 10000, body)
    connection.close()
    await asyncio.gather(*callers)
    ran = {it["id"] for it in fleet.runs}
    cut = [it for it in fleet.requests if it["end"] == "closed" and it["id"] in ran]
    return [f"LOST {it['id']}" for it in cut] if len(cut) > 3 else []


mesh.main(__file__, play)
