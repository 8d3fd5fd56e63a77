"""CONFIG: the store gives no response for some seconds, just after a change. Long
after it serves again, the nodes still act on the older version."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import world as w  # noqa: E402

CONFIG_APPLY_S, SETTLE_S, MAX_SKEW_S = 2.0, 3.0, 5.0
# The store is silent this long; the site's days have up to 8 s.
SILENT_S = 4.5
JUDGED_S = 10.0


class SilentStore(w.Store):
    """While silent, it gives no response, and a connection on which a response is
    lost returns nothing further."""

    silent = False

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await w.read_head(reader)
                body = await w.read_body(reader, headers)
                method, target, _ = first.split()
                status, out = await self.call(method, target, body)
                if self.silent:
                    self.record.say("store_silent", call=f"{method} {target}")
                    await reader.read()
                    return
                writer.write(w.message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                                       w.json.dumps(out).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


w.Store = SilentStore


async def case(world):
    world.store.record = world.record
    for zone in ("rvk-a", "aey-a"):
        for service in ("orders", "tracker", "orders"):
            world.add_node(zone, service)
    def routes(service):
        return {"moved": ("mesh.example", "/moved/", "idempotent", service, {})}
    await world.configure(7, routes("orders"))
    await world.start_nodes()
    for it in world.nodes:
        await w.Backend(world, it, it.service, work_s=0.01).start()
    await asyncio.sleep(6)
    # The platform acknowledges a change and is silent from then on.
    world.store.silent = w.TROUBLE
    await world.configure(9, routes("tracker"))
    acked_at = world.record.now()
    await asyncio.sleep(SILENT_S)
    world.store.silent = False
    over_at = world.record.now()
    world.record.say("store_serves")
    # In touch again, and past the bound of the change, also if it is stretched.
    judged_at = max(over_at + SETTLE_S, acked_at + CONFIG_APPLY_S + MAX_SKEW_S)
    await asyncio.sleep(judged_at - world.record.now())
    answers = []

    async def requester(node):
        while world.record.now() < judged_at + JUDGED_S:
            answers.append(await world.request(node, "mesh.example", f"/moved/{len(answers)}"))
            await asyncio.sleep(0.4)

    await asyncio.gather(*(requester(it) for it in world.nodes))
    asked = {it[0] for it in answers}
    stale = [it for it in world.runs if it["request"] in asked and it["service"] == "orders"]
    world.record.say("summary", requests=len(answers), served=sum(1 for it in answers if it[1] == 200),
                     run_by_the_older_version=len(stale))
    return [f"request {it['request']} was run by the service of the older version, {it['at'] - acked_at:.1f} s after "
            f"the ack of the newer one, {it['at'] - over_at:.1f} s after the store served again" for it in stale]


w.main(pathlib.Path(__file__).parent, case)
