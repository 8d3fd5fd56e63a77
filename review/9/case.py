"""A backend that never reports `draining` deregisters and goes on serving. The
node beside it has acknowledged that; then the node is killed and started again.
A liveness report that the backend had sent before, and that arrives late, must
not bring requests to the backend again."""
import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
import mesh  # noqa: E402

LATE_S = 3.0  # how late the last liveness report arrives
KILL_AFTER_S = 0.5
RESTART_AFTER_S = 0.3
SERVES_S = 14.0  # how long the backend serves after its leaving was acknowledged


async def case(record):
    it = mesh.Mesh(record, ["orders", "orders", "shop"])
    try:
        await it.start({"routes": {"order": mesh.route("orders", "/order/", "idempotent")},
                        "services": {"orders": mesh.service_entry(), "shop": mesh.service_entry()},
                        "limits": mesh.LIMITS})
        await asyncio.sleep(mesh.SETTLE_S + 1)
        leaving, host = it.backends[0], it.hosts[0]
        done = False

        async def request_forever():
            requester = mesh.Requester(it, it.hosts[2])
            while not done:
                await requester.send("GET", "/order/a")
                await asyncio.sleep(0.02)

        requests = asyncio.create_task(request_forever())
        await asyncio.sleep(1)
        # The last report is under way and arrives late.
        leaving.beats.cancel()
        late = leaving.beat_body()
        sent = time.monotonic()
        leaving.leaving = True  # its health check fails from now on
        status = await leaving.deregister()
        acknowledged = time.monotonic()
        record("the backend at host-0 deregisters:", status)
        if status != 200:
            raise RuntimeError("the deregistration wasn't acknowledged")
        await asyncio.sleep(KILL_AFTER_S)
        started = 0.0
        if mesh.trouble():
            it.kill_node(host)
            await asyncio.sleep(RESTART_AFTER_S)
            it.start_node(host)
            started = time.monotonic()
        await asyncio.sleep(sent + LATE_S - time.monotonic())
        record("a report of before, seq", leaving.seq, "arrives late:", await leaving.send_beat(late))
        await asyncio.sleep(acknowledged + SERVES_S - time.monotonic())
        record("the backend at host-0 ends")
        done = True
        await requests
        if it.ended_by_themselves():
            raise RuntimeError("a node has ended")
    finally:
        await it.stop()
    # Only what machines in touch sent on: from `settle_window` after the start.
    bound = max(acknowledged + mesh.DRAIN_S, started + mesh.SETTLE_S if started else 0.0)
    late_runs = [run for run in it.runs if run[1] == host.name and run[0] > bound]
    record(len(late_runs), "requests ran at the backend that had left, from",
           f"{bound - acknowledged:.2f} s after the acknowledgement on; {mesh.DRAIN_S:.0f} s are allowed;",
           len(it.runs), "requests ran in all")
    return 1 if late_runs else 0


mesh.main(case, HERE)
