"""A server of a plain service, as a process of its own, that is cold for a time after its start.

Usage: cold.py PORT ID RUNS COLD_S CRASH_LIMIT

A cold server ends if more than CRASH_LIMIT requests arrive in one second.
"""

import asyncio
import collections
import os
import sys
import time

import fleet

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
WORK_S = 0.03
# A server that has just started is slow (`cold_x` of the site file).
COLD_WORK_S = 0.048


async def main():
    port, name, runs = int(sys.argv[1]), sys.argv[2], sys.argv[3]
    cold_until = time.monotonic() + float(sys.argv[4])
    crash_limit = int(sys.argv[5])
    arrivals = collections.deque()

    def note(text):
        with open(runs, "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic():.6f} {text}\n")

    def count(now):
        arrivals.append(now)
        while arrivals[0] <= now - 1.0:
            arrivals.popleft()
        if now < cold_until and len(arrivals) > crash_limit:
            note(f"{name} {os.getpid()} crashes: it is cold and got {len(arrivals)} requests in one second")
            os._exit(1)

    async def serve(reader, writer):
        try:
            while True:
                line, headers = await fleet.read_head(reader)
                await fleet.read_request_body(reader, headers)
                rid = headers.get("x-jackdawstair-request-id")
                now = time.monotonic()
                left_ms = max(0, int((cold_until - now) * 1000))
                own = f"X-Jackdawstair-Instance-Id: {name}\r\n"
                if headers.get("x-jackdawstair-expect-instance", name) != name:
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{own}Content-Length: 0\r\n\r\n".encode())
                elif line.split()[1] == "/healthz":
                    writer.write(
                        f"HTTP/1.1 200 OK\r\n{own}X-Jackdawstair-Warmup-Ms: {left_ms}\r\nContent-Length: 0\r\n\r\n".encode()
                    )
                elif not rid:
                    writer.write(
                        b"HTTP/1.1 400 Bad Request\r\nX-Jackdawstair-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    )
                else:
                    note(f"{name} {os.getpid()} {'cold' if left_ms else 'warm'} runs {rid}")
                    count(now)
                    await asyncio.sleep(COLD_WORK_S if left_ms else WORK_S)
                    body = f"done {rid}".encode()
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nX-Jackdawstair-Request-Id: {rid}\r\n"
                        f"X-Jackdawstair-Response-Stamp: {STAMP}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                    )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", port)
    print("ready", flush=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())
