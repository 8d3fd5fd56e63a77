"""Requesters leave in the middle of long downloads. Half a second later the
backends must no longer be at work for them."""
import asyncio
import os
import random
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "stand-ins-2"))
import mesh  # noqa: E402

PIECES = 50
PIECE = 32_768
WORK_S = 5.0  # how long a backend makes and sends an answer
DEADLINE_MS = 8_000
STAY_S = 1.5  # after which a requester that doesn't stay leaves
REQUESTS = 20
EVERY = 6  # of them leaves: 4, a fifth, as give_up has it on the site; on machines 0 to 3
GONE_S = 0.5


class Files:
    """How the backends answer, and when they were at work."""

    def __init__(self):
        self.begin, self.end, self.why = {}, {}, {}

    async def answer(self, backend, writer, request, target, headers, body):
        self.begin[request] = time.monotonic()
        until = self.begin[request] + int(headers["deadline-ms"]) / 1000
        why = "all is sent"
        try:
            writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: sig.{request}\r\n"
                          f"Content-Length: {PIECES * PIECE}\r\n\r\n").encode())
            for _ in range(PIECES):
                if writer.is_closing():
                    raise ConnectionError
                if time.monotonic() > until:
                    why = "time limit"
                    break
                writer.write(bytes(PIECE))
                await writer.drain()
                await asyncio.sleep(WORK_S / PIECES)
        except ConnectionError:
            why = "its connection was closed"
        self.end[request], self.why[request] = time.monotonic(), why
        backend.mesh.record("the backend at", backend.host.name, "ends work on", request + ":", why)
        return b"" if why == "all is sent" else None


async def case(record):
    it = mesh.Mesh(record, ["docs", "docs", "docs", "shop", "shop"])
    files = Files()
    left = {}
    whole = []
    try:
        await it.start({"routes": {"file": mesh.route("docs", "/file/", "download", "10000ms", "6000ms")},
                        "services": {"docs": mesh.service_entry(), "shop": mesh.service_entry()},
                        "limits": mesh.LIMITS})
        for backend in it.backends:
            backend.behave = files.answer
        await asyncio.sleep(mesh.SETTLE_S + 1)

        async def download(n):
            host = it.hosts[n % len(it.hosts)]
            reader, writer = await asyncio.open_connection(host.ip, host.outbound)
            request = f"{random.getrandbits(64):016x}"
            it.record("sent", request, "GET /file/a to", host.name)
            writer.write((f"GET /file/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {request}\r\n"
                          f"Deadline-Ms: {DEADLINE_MS}\r\n\r\n").encode())
            leaves = mesh.trouble() and n % EVERY == 0

            async def read():
                head = await mesh.read_head(reader)
                body = await mesh.read_body(reader, head[1], True)
                if head[0].split()[1] == "200" and len(body) == PIECES * PIECE:
                    whole.append(request)

            try:
                await asyncio.wait_for(read(), STAY_S if leaves else DEADLINE_MS / 1000)
                record("answered", request, "whole")
            except asyncio.TimeoutError:
                pass
            except (asyncio.IncompleteReadError, TypeError, ConnectionError):
                record("answered", request, "not whole")
            writer.close()
            if leaves:
                left[request] = time.monotonic()
                record("the requester of", request, "at", host.name, "has closed its connection")

        await asyncio.gather(*(download(n) for n in range(REQUESTS)))
        await asyncio.sleep(6)
        if it.ended_by_themselves():
            raise RuntimeError("a node has ended")
    finally:
        await it.stop()
    # Those that would have lasted for another half second.
    judged = [r for r in left if r in files.begin and files.begin[r] + WORK_S > left[r] + GONE_S]
    if mesh.trouble() and not judged:
        raise RuntimeError("no requester has left in time")
    busy = [r for r in judged if files.end.get(r, float("inf")) > left[r] + GONE_S]
    for request in busy:
        record(request, "was worked on for", f"{files.end[request] - left[request]:.2f} s after its requester had left,",
               "until", files.why[request])
    record(f"{REQUESTS} requests, {len(whole)} whole answers; {len(left)} requesters left;",
           f"half a second later backends were at work on {len(busy)} of {len(judged)} (a quarter is allowed)")
    return 1 if len(busy) > len(judged) / 4 else 0


mesh.main(case, HERE)
