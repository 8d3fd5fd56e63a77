"""Another writer's liveness report names a service that the desired state does
not name. Requests go on from the machine that received it."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib"))
import mesh

HOST = "orders.example"
ORDERS = "/orders77/"


async def play(fleet):
    entry = fleet.add_machine("rvk-a", "reykjavik", "tracker")
    fleet.add_machine("rvk-a", "reykjavik", "orders")
    fleet.add_machine("rvk-a", "reykjavik", "orders")
    routes = {"r-orders": mesh.route("orders", HOST, ORDERS, "non_idempotent",
                                     "1500ms", "800ms")}
    await fleet.start(routes, ["tracker", "orders"])
    await fleet.wait_served(entry, "POST", HOST, f"{ORDERS}confirm", 12)
    connection = mesh.Connection(entry)

    async def traffic():
        for _ in range(60):
            await connection.call("POST", HOST, f"{ORDERS}confirm", 3000,
                                  b"order")
            await asyncio.sleep(0.02)

    calls = asyncio.create_task(traffic())
    for _ in range(2):
        await asyncio.sleep(1.7)
        if mesh.TROUBLE:
            await entry.post_control(
                f"/instances/i-{random.getrandbits(32):08x}/heartbeat",
                {"service": "nosuch41", "address": entry.address("app"),
                 "zone": entry.zone, "version": "v1", "slots": 9,
                 "state": "ready", "cold_remaining": "0ms", "seq": 3},
                "another writer")
    await calls
    connection.close()
    return [f"UNASKED {it['id']} {it['path']} was run with Caller-Service "
            f"{it['caller']}, it began at {out['machine'].name} of the service "
            f"{out['machine'].service}"
            for it in fleet.runs for out in fleet.requests
            if out["id"] == it["id"] and it["caller"] != out["machine"].service]


mesh.main(__file__, play)
