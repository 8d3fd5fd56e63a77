"""LOST: a planned stop cuts downloads that it had taken and that were on time."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib"))
import mesh

HOST = "lopu12.example"
# As the site's `finish-cert`: 180 ms of work, answers of 280,000 bytes and up to
# 1,700,000, a time limit of 5 s, a latency target of 1.2 s.
WORK_S = 0.18
USUAL_BYTES = 280_000
LARGE_BYTES = 1_600_000
LARGE = 4
DEADLINE_MS = 5000
TARGET = "1200ms"
# The site's links have 13.3 to 140 Mbit/s.
NARROW_MBPS = 13.3
WIDE_MBPS = 140.0
# The requesters hear of the stop after two questions for readiness, 1 s apart.
SENT_AFTER_S = 1.6
GRACE_S = 6.0
mesh.BOUNDS.update({"settle_window": "4000ms", "ack": "5000ms",
                    "catch_up": "6s", "drain": "3000ms",
                    "config_apply": "3000ms", "budget_slack": "194"})


class Docs(mesh.Backend):
    async def work(self, run, writer, head):
        await asyncio.sleep(WORK_S)
        # `drain` returns once nothing is left to be sent.
        writer.transport.set_write_buffer_limits(0)
        await self.answer(run, writer)
        self.fleet.record.write(f"backend {self.id} has sent its whole answer to "
                                f"{run['id']}")
        run["sent_at"] = self.fleet.record.now()

    def body_of(self, run):
        size = LARGE_BYTES if "/large/" in run["path"] else USUAL_BYTES
        return (run["id"] * (size // 16 + 1)).encode()[:size]


async def play(fleet):
    entry = fleet.add_machine("rvk-a", "reykjavik", "tracker")
    entry.link_mbps = WIDE_MBPS
    beside = fleet.add_machine("rvk-a", "reykjavik", "docs", Docs)
    beside.link_mbps = NARROW_MBPS
    await fleet.start(
        {"r-cert": mesh.route("docs", HOST, "/cert/", "download", "10000ms",
                              TARGET, priority=2)}, ["tracker", "docs"])
    await fleet.wait_served(entry, "GET", HOST, "/cert/usual/1", 20)
    await asyncio.sleep(4.5)
    connections = [mesh.Connection(entry) for _ in range(LARGE)]
    for it in connections:
        await it.call("GET", HOST, "/cert/usual/2", DEADLINE_MS)
    stopped_at = fleet.record.now()
    if mesh.TROUBLE:
        entry.send_signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    outs = await asyncio.gather(*[
        it.call("GET", HOST, f"/cert/large/{n}", DEADLINE_MS)
        for n, it in enumerate(connections)])
    if mesh.TROUBLE:
        await entry.wait_node_end()
        fleet.record.write(f"the node ended {fleet.record.now() - stopped_at:.2f} s "
                           f"after SIGTERM")
    return find_breaks(fleet, outs, stopped_at)


def find_breaks(fleet, outs, stopped_at):
    """LOST: passed on to a backend, and the connection ends without a complete
    answer before the time limit, within `grace` + 1 s after the SIGTERM.
    """
    runs = {run["id"]: run for run in fleet.runs}
    return [f"LOST {it['id']}: sent {it['sent_at'] - stopped_at:.2f} s after "
            f"SIGTERM, cut {it['ended_at'] - it['sent_at']:.2f} s later with "
            f"{len(it['body'])} of {LARGE_BYTES} bytes; its backend had sent all "
            f"{it['ended_at'] - runs[it['id']]['sent_at']:.2f} s before"
            for it in outs
            if it["id"] in runs and "sent_at" in runs[it["id"]] and
            it["end"] == "closed" and not it["whole"] and
            it["ended_at"] - it["sent_at"] < DEADLINE_MS / 1000 and
            it["ended_at"] - stopped_at < GRACE_S + 1]


mesh.main(__file__, play)
