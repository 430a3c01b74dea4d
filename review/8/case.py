"""A cold server leaves and a service is added while the node that grants the requests to that server restarts."""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b", "zone-c"]
ORDERS = "sample-orders"
ROUNDS = 14
# Time from the end of a node's process to the start of the next one.
RESTART_S = 1.0
COLD_MS = 20000
REQUESTS = 40
# Time between two requests; the customer has 42 a second, and here a few of its users come at once.
REQUEST_GAP_S = 0.004
DEADLINE_MS = 1500
MASK = (1 << 64) - 1


def mix(number):
    state = (number + 0x9E3779B97F4A7C15) & MASK
    state = ((state ^ (state >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    state = ((state ^ (state >> 27)) * 0x94D049BB133111EB) & MASK
    return state ^ (state >> 31)


def hash_strings(parts):
    state = 0xCBF29CE484222325
    for part in parts:
        for byte in part.encode() + b"\xff":
            state = ((state ^ byte) * 0x100000001B3) & MASK
    return mix(state)


def keeper(server, born, names):
    """Returns the node that grants the requests to a cold server: the one with the highest hash."""
    task = str(mix(hash_strings(["server", server]) ^ born))
    return max(names, key=lambda name: (hash_strings(["limit", task, name]), name))


class Server:
    """A server of a plain service, which notes what it runs."""

    def __init__(self, name, service, store, record):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.port = fleet.free_port()
        self.runs = []

    async def start(self, names, granting, cold_ms):
        # The start is the time at which the server starts; it starts when another node than the front grants.
        while True:
            self.born = time.time_ns() // 1_000_000
            if granting is None or keeper(self.name, self.born, names) == granting:
                break
            await asyncio.sleep(0.001)
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.write(cold_ms)

    def write(self, cold_ms):
        self.store.put_json(f"servers/{self.name}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-a", "version": "v1", "slots": 6,
            "state": "ready", "warmup_left_ms": cold_ms, "seq": 1, "born": self.born,
        })

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await fleet.read_head(reader)
                await fleet.read_request_body(reader, headers)
                rid = headers.get("x-jackdawstair-request-id")
                if headers.get("x-jackdawstair-expect-instance", self.name) != self.name:
                    writer.write(
                        f"HTTP/1.1 421 Misdirected Request\r\nX-Jackdawstair-Instance-Id: {self.name}\r\n"
                        f"Content-Length: 0\r\n\r\n".encode()
                    )
                elif not rid:
                    writer.write(
                        b"HTTP/1.1 400 Bad Request\r\nX-Jackdawstair-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    )
                else:
                    path = line.split()[1]
                    self.runs.append((rid, path))
                    self.record.line(f"server {self.name} of {self.service} runs {rid}, {line!r}")
                    body = f"done by {self.service}".encode()
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nX-Jackdawstair-Request-Id: {rid}\r\nX-Jackdawstair-Response-Stamp: s.{self.name}\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                    )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class Case:
    def __init__(self, store, nodes, record):
        self.store, self.nodes, self.record = store, nodes, record
        self.names = [node.name for node in nodes]
        self.services = [{**fleet.plain_service(ORDERS), "warmup_s": COLD_MS / 1000, "warmup_per_s": 26.0}]
        self.routes = [fleet.route("sample-ship", "/ship/", "unsafe", ORDERS, 800)]
        self.version = 0
        self.servers = []
        self.wrong = []
        self.random = random.Random(57)

    def configure(self):
        self.version += 1
        self.store.put_json("op/config", fleet.configuration(self.version, self.routes, self.services))

    async def send(self, front, rid, path):
        answer = await fleet.request(front.front, "POST", path, rid, DEADLINE_MS, b"one box")
        self.record.line(f"client gets for {rid} ({path}): status {answer.status} {answer.body[:40]!r}")
        return answer.status

    async def send_all(self, front, number):
        tasks = []
        for one in range(REQUESTS):
            tasks.append(asyncio.create_task(self.send(front, f"{number:08x}{one:08x}", f"/ship/{number}-{one}")))
            await asyncio.sleep(REQUEST_GAP_S)
        await asyncio.gather(*tasks)

    async def round(self, number):
        front, granting = self.nodes[0], self.nodes[1 + number % (len(self.nodes) - 1)]
        new_service = f"care-app-{number}"
        leaving = Server(f"i-{number:04x}a", ORDERS, self.store, self.record)
        added = Server(f"i-{number:04x}b", new_service, self.store, self.record)
        self.servers += [leaving, added]
        # The new service's server is there before its route.
        await added.start(self.names, None, 0)
        if TROUBLE:
            granting.signal(signal.SIGTERM)
        await asyncio.sleep(1.5)
        await leaving.start(self.names, granting.name, COLD_MS)
        await asyncio.sleep(1.0)
        if TROUBLE:
            await granting.process.wait()
            self.record.line(f"the process of node {granting.name} has ended")
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        requests = asyncio.create_task(self.send_all(front, number))
        await asyncio.sleep(self.random.uniform(0.01, 0.04))
        self.record.line(f"the entry of {leaving.name} is removed; it serves on")
        self.store.delete(f"servers/{leaving.name}")
        await asyncio.sleep(self.random.uniform(0.01, 0.04))
        self.services = self.services[:1] + [fleet.plain_service(new_service)]
        self.routes = self.routes[:1] + [fleet.route(f"care-{number}", f"/care-{number}/", "unsafe", new_service, 800)]
        self.configure()
        self.record.line(f"configuration {self.version} adds the route /care-{number}/ to {new_service}")
        await asyncio.sleep(RESTART_S)
        if TROUBLE:
            await granting.start()
        await requests
        for rid, path in added.runs:
            if path.startswith("/ship/"):
                self.wrong.append(rid)
                self.record.line(f"ROUTE: {rid}, {path}, ran at {added.name} of {new_service}; no configuration allows it")
        await asyncio.sleep(0.8)
        self.store.delete(f"servers/{added.name}")

    async def play(self):
        self.configure()
        anchor = Server("i-ffff", "anchor", self.store, self.record)
        await anchor.start(self.names, None, 0)
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        await asyncio.sleep(6)
        for number in range(ROUNDS):
            await self.round(number)
        rounds = len({rid[:8] for rid in self.wrong})
        self.record.line(f"in {rounds} of {ROUNDS} rounds {len(self.wrong)} requests ran at a service that no configuration allows")
        return 1 if self.wrong else 0


async def main():
    record = fleet.Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory(prefix="review-") as directory:
        store = fleet.Store(fleet.free_port())
        await store.start()
        bounds = {"bounds.warmup_overshoot": "1.5", "bounds.warmup_slack": "5"}
        nodes = [
            fleet.Node(f"front-{zone[-1]}-{number}", zone, ZONES, store.port, directory, record, **bounds)
            for zone in ZONES for number in (1, 2)
        ]
        try:
            return await Case(store, nodes, record).play()
        finally:
            for node in nodes:
                await node.end()


fleet.run_case(main)
