"""A server of a plain service, as a process of its own. Its answers have no length and end with their connection.

Usage: plain.py PORT ID RUNS
"""

import asyncio
import os
import sys
import time

import fleet

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
# The first half of a whole answer is sent at once, and the rest after this time.
WORK_S = 1.5
EVENTS = 20
EVENT_GAP_S = 0.15


def event(rid, number):
    return f"id: {number}\ndata: {rid} {number}\n\n".encode()


def whole_body(rid):
    return (f"answer to {rid}: ".encode() + b"." * 800)[:800]


def stream_body(rid):
    return b"".join(event(rid, number) for number in range(1, EVENTS + 1))


async def main():
    port, name, runs = int(sys.argv[1]), sys.argv[2], sys.argv[3]

    def note(text):
        with open(runs, "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic():.6f} {text}\n")

    async def run(line, headers, writer):
        rid = headers["x-jackdawstair-request-id"]
        is_stream = line.split()[1].startswith("/draft/")
        kind = "text/event-stream" if is_stream else "application/octet-stream"
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Jackdawstair-Request-Id: {rid}\r\nX-Jackdawstair-Response-Stamp: {STAMP}\r\n"
            f"Content-Type: {kind}\r\nConnection: close\r\n\r\n".encode()
        )
        if is_stream:
            for number in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
                writer.write(event(rid, number))
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
        else:
            body = whole_body(rid)
            writer.write(body[:400])
            await writer.drain()
            await asyncio.sleep(WORK_S)
            writer.write(body[400:])

    async def serve(reader, writer):
        try:
            line, headers = await fleet.read_head(reader)
            await fleet.read_request_body(reader, headers)
            rid = headers.get("x-jackdawstair-request-id")
            own = f"X-Jackdawstair-Instance-Id: {name}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            if headers.get("x-jackdawstair-expect-instance", name) != name:
                writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{own}".encode())
            elif line.split()[1] == "/healthz":
                writer.write(f"HTTP/1.1 200 OK\r\n{own}".encode())
            elif not rid:
                note(f"{name} (process {os.getpid()}) answers 400 to a request without an id, {line!r}")
                writer.write(f"HTTP/1.1 400 Bad Request\r\nX-Jackdawstair-Not-Executed: 1\r\n{own}".encode())
            else:
                note(f"{name} (process {os.getpid()}) runs {rid}")
                await run(line, headers, writer)
                note(f"{name} (process {os.getpid()}) has sent the whole answer to {rid}")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", port)
    print("ready", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
