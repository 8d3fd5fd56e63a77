"""An idle backend ends, its address goes to a backend of another service, and
a burst arrives before the new backend's first liveness report."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib"))
import mesh

HOST = "orders.example"
ORDERS = "/orders77/"
STOCK = "/stock12/"
# The site has 30 requesters in a zone of three machines; a burst of 1.7.
BURST = 17
# `reuse_after` is 2 s.
REUSE_S = 2.3
# A liveness report may arrive seconds late; this one is late by less.
REPORT_DELAY_S = 1.2
SLOTS = 9


class LateReporter(mesh.Backend):
    """A backend whose first liveness report arrives late. A new connection
    takes it 1 ms, as the site's backends."""

    async def _accept(self, reader, writer):
        await asyncio.sleep(0.001)
        await super()._accept(reader, writer)

    async def _beat(self):
        body = self.report_body()
        await asyncio.sleep(REPORT_DELAY_S)
        await self.machine.post_control(
            f"/instances/{self.id}/heartbeat", body, f"backend {self.id} (late)")
        while True:
            await asyncio.sleep(mesh.HEARTBEAT_S * random.uniform(0.95, 1.05))
            await self.report()


async def burst(connections):
    await asyncio.gather(*[
        it.call("POST", HOST, f"{ORDERS}confirm", 3000, b"charge")
        for it in connections])


async def play(fleet):
    entry = fleet.add_machine("rvk-a", "reykjavik", "tracker")
    stock = fleet.add_machine("rvk-a", "reykjavik", "stock")
    target = fleet.add_machine("rvk-a", "reykjavik", "orders", slots=SLOTS)
    # The site's largest share is 0.35; here one of three backends ends.
    for zone, region in (("aey-a", "akureyri"), ("egs-a", "egilsstadir")):
        fleet.add_machine(zone, region, "orders", slots=SLOTS)
    routes = {
        "r-orders": mesh.route("orders", HOST, ORDERS, "non_idempotent",
                               "1500ms", "800ms"),
        "r-stock": mesh.route("stock", HOST, STOCK, "idempotent",
                              "1500ms", "800ms")}
    await fleet.start(routes, ["tracker", "orders", "stock"])
    await fleet.wait_served(entry, "POST", HOST, f"{ORDERS}confirm", 12)
    await fleet.wait_served(target, "POST", HOST, f"{ORDERS}confirm", 12)
    await fleet.wait_served(entry, "GET", HOST, f"{STOCK}item")
    connections = [mesh.Connection(target) for _ in range(BURST)]
    await asyncio.gather(*[it.open() for it in connections])
    if mesh.TROUBLE:
        fleet.record.write(f"backend {target.backend.id} (orders) crashes")
        target.backend.close()
        await asyncio.sleep(REUSE_S)
        target.backend = LateReporter(fleet, target, "stock", slots=SLOTS)
        await target.backend.start()
        fleet.record.write(
            f"backend {target.backend.id} (stock) starts at the address of "
            "the one that crashed")
        await asyncio.sleep(REPORT_DELAY_S / 2)
    else:
        await asyncio.sleep(REUSE_S + REPORT_DELAY_S / 2)
    await burst(connections)
    for it in connections:
        it.close()
    await asyncio.sleep(3)
    return [f"ROUTE {it['id']} {it['path']} was run by {it['backend'].id} of "
            f"the service {it['backend'].service}, Expected-Instance "
            f"{it['expected'] or 'missing'}"
            for it in fleet.runs
            if it["path"].startswith(ORDERS) and it["backend"].service != "orders"]


mesh.main(__file__, play)
