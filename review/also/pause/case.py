"""A backend pauses within a long answer, while the machine that took the
request is stopped as planned."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib"))
import mesh

HOST = "docs.example"
CERT = "/cert77/"
BYTES = 700_000
PAUSE_S = 1.8 if mesh.TROUBLE else 0.2
DOWNLOADS = 4


class Pausing(mesh.Backend):
    async def answer(self, run, writer):
        data = mesh.message("HTTP/1.1 200 OK", self.answer_fields(run),
                            b"x" * BYTES)
        writer.write(data[:BYTES // 2])
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        writer.write(data[BYTES // 2:])
        await writer.drain()
        run["end"] = "answered"


async def play(fleet):
    entry = fleet.add_machine("rvk-a", "reykjavik", "tracker")
    fleet.add_machine("rvk-b", "reykjavik", "docs", backend_type=Pausing)
    await fleet.start({"r-cert": mesh.route("docs", HOST, CERT, "download",
                                            "5000ms", "2500ms")},
                      ["tracker", "docs"])
    await fleet.wait_served(entry, "GET", HOST, f"{CERT}item", 2)
    await asyncio.sleep(3.5)
    fleet.requests.clear()
    connections = [mesh.Connection(entry) for _ in range(DOWNLOADS)]
    calls = [asyncio.create_task(it.call("GET", HOST, f"{CERT}item", 5000))
             for it in connections]
    await asyncio.sleep(0.3)
    entry.send_signal(signal.SIGTERM)
    await asyncio.gather(*calls)
    ran = {it["id"] for it in fleet.runs}
    return [f"LOST {it['id']} was cut {it['ended_at'] - it['sent_at']:.1f} s "
            f"after it was sent, with {len(it['body'])} of {BYTES} bytes"
            for it in fleet.requests
            if it["id"] in ran and it["end"] == "closed"]


mesh.main(__file__, play)
