"""Stand-ins for the users' servers: plain services and model servers that form groups."""

import asyncio
import json
import time

from site_platform import message, now, read_body, read_head

HEARTBEAT_S = 1.2
NOT_RUN = ("X-Jackdawstair-Not-Executed", "1")


class Server:
    """Server of a plain service, which answers after some work."""

    def __init__(self, name, service, zone, store, record, work_s=0.03, slots=6):
        self.name, self.service, self.zone = name, service, zone
        self.store, self.record = store, record
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.running = set()
        # Set while nothing passes between the server and the entry VMs.
        self.is_cut_off = False

    async def start(self):
        # A body that is not read yet waits in the kernel, and not here.
        self.server = await asyncio.start_server(self.converse, "127.0.0.1", 0, limit=1 << 16)
        self.address = self.server.sockets[0].getsockname()
        await self.register()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    def entry(self):
        return {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": 1, "slots": self.slots, "state": "ready", "warmup_left_ms": 0,
            "seq": int(now() * 10), "born": self.born,
        }

    async def register(self):
        """Writes the entry, which changes only when more than `seq` changes."""
        key, entry = f"servers/{self.name}", self.entry()
        if self.store.value(key) | {"seq": 0} != entry | {"seq": 0}:
            await self.store.put(key, entry)

    async def converse(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                while self.is_cut_off:
                    await asyncio.sleep(0.05)
                if not await self.serve(method, path, headers, body, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, status, body=b"", headers=()):
        writer.write(message(status, body, headers))
        await writer.drain()
        return True

    async def serve(self, method, path, headers, body, writer):
        request = headers.get("x-jackdawstair-request-id")
        if not request:
            return await self.answer(writer, 400, headers=[NOT_RUN])
        echo = ("X-Jackdawstair-Request-Id", request)
        if headers.get("x-jackdawstair-expect-instance", self.name) != self.name:
            return await self.answer(writer, 421, headers=[echo, NOT_RUN])
        self.record.add("runs", request, "at", self.name, method, path, len(body), "bytes")
        self.running.add(request)
        await asyncio.sleep(self.work_s)
        self.running.discard(request)
        answer = f"{request} answered by {self.name}\n".encode()
        stamp = ("X-Jackdawstair-Response-Stamp", f"stamp-{request}")
        return await self.answer(writer, 200, answer, [echo, stamp])


MODELS = {
    "m0": {"size": 4, "load_s": 16.0, "warm_s": 1.6, "pace": 1.0, "share": 0.67},
    "m1": {"size": 2, "load_s": 12.0, "warm_s": 1.1, "pace": 0.6, "share": 0.33},
}
SAME_MODEL_S = 0.2
FORM_S = 0.3
STALL_S = 4.0
EVENTS = 20


def engine_service(name, served=("m0", "m1")):
    """Returns a service of model servers for the configuration."""
    models = [{"name": model} | MODELS[model] for model in served]
    return {
        "name": name, "max_connections": 394, "health_path": "/healthz",
        "engine": {
            "slots": 26, "kv_capacity_tokens": 1400000, "stride": 5, "step_ms": 6.07,
            "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0,
            "pairs_per_m": 0.7, "chunk": 2048, "loads_per_s": 4.0, "loads_at_once": 6,
            "form_ms": FORM_S * 1000, "usual": {"prompt": 1200.0, "answer": 120.0},
            "models": models,
        },
    }


class Group:
    """A server's membership of a group."""

    def __init__(self, order, rank):
        self.name, self.epoch = order["group"], order["epoch"]
        self.model, self.members = order["model"], order["members"]
        self.rank, self.state = rank, "joining"

    def is_same(self, other):
        return other is not None and (self.name, self.epoch) == (other.name, other.epoch)

    def encode(self):
        return {"name": self.name, "epoch": self.epoch, "rank": self.rank, "state": self.state}


class ModelServer(Server):
    """Model server that takes orders and, as the head of an open group, serves streams."""

    fleet = {}
    has_traffic = False
    # Time until the first event of a request, and between two events.
    FIRST_EVENT_S = 0.15
    EVENT_S = 0.04
    # Breaches of TWO, as the servers see them.
    breaches = []

    def __init__(self, name, service, zone, domain, store, record):
        super().__init__(name, service, zone, store, record, slots=26)
        self.domain = domain
        self.accepted = 0
        self.highest_epoch = 0
        self.group = None
        self.last_model = None
        self.staged = []
        ModelServer.fleet[name] = self

    def entry(self):
        entry = super().entry() | {"domain": self.domain, "staged": self.staged, "stage": "both"}
        return entry | ({"group": self.group.encode()} if self.group else {})

    def head(self, group):
        return ModelServer.fleet[group.members[0]]

    def stands_still(self, group):
        return not all(group.is_same(ModelServer.fleet[m].group) for m in group.members)

    async def serve(self, method, path, headers, body, writer):
        names = [("Content-Type", "application/json"), ("X-Jackdawstair-Instance-Id", self.name)]
        is_expected = headers.get("x-jackdawstair-expect-instance", self.name) == self.name
        if path == "/jackdawstair/report":
            report = self.entry() | {"seq": self.accepted, "running": len(self.running)}
            report |= {"busy": False, "queued": 0, "kv_used": 0, "kv_total": 1400000, "handles": 0}
            return await self.answer(writer, 200, json.dumps(report).encode(), names)
        if path == "/jackdawstair/order":
            order = json.loads(body)
            before = self.group.encode() if self.group else None
            status = self.carry_out(order) if is_expected else 421
            self.record.add("order to", self.name, json.dumps(order), "->", status, "was", before)
            if status in (200, 202):
                await self.register()
            return await self.answer(writer, status)
        request = headers.get("x-jackdawstair-request-id")
        if not request:
            return await self.answer(writer, 400, headers=[NOT_RUN])
        refusal = [("X-Jackdawstair-Request-Id", request), NOT_RUN, ("At-Server", self.name)]
        group = self.group
        is_served = group is not None and group.rank == 0
        if not is_expected or not is_served or headers.get("x-jackdawstair-model") != group.model:
            return await self.answer(writer, 421, headers=refusal)
        if group.state != "open":
            return await self.answer(writer, 503, headers=refusal)
        self.record.add("takes", request, len(body), "bytes at", self.name, group.name)
        return await self.stream(request, headers, group, refusal, writer)

    async def stream(self, request, headers, group, refusal, writer):
        ModelServer.has_traffic = True
        first = int(headers.get("last-event-id", 0)) + 1
        self.running.add(request)
        try:
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(self.FIRST_EVENT_S if number == first else self.EVENT_S)
                while self.group is group and group.state != "broken" and self.stands_still(group):
                    await asyncio.sleep(0.02)
                is_lost = self.group is not group or group.state == "broken"
                if is_lost and number == first:
                    return await self.answer(writer, 503, headers=refusal)
                if is_lost:
                    self.record.add("breaks off", request, "at", self.name, group.name)
                    return False
                if number == first:
                    self.record.add("runs", request, "at", self.name, group.name, "from", first)
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        b"Transfer-Encoding: chunked\r\n"
                        + f"X-Jackdawstair-Request-Id: {request}\r\n"
                        f"X-Jackdawstair-Response-Stamp: stamp-{request}\r\n\r\n".encode())
                event = f"id: {number}\ndata: {request}-{number}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running.discard(request)

    def carry_out(self, order):
        """Carries an order out and returns the status of its answer."""
        if order.get("expected", self.accepted) != self.accepted:
            return 409
        operation = order["operation"]
        if operation == "join":
            return self.join(order)
        if operation == "stage":
            if order["model"] in self.staged:
                return 200
            self.accepted += 1
            asyncio.create_task(self.stage(order["model"]))
            return 202
        group = self.group
        if group is None or (group.name, group.epoch) != (order["group"], order["epoch"]):
            return 409
        if operation == "open":
            if group.rank != 0 or group.state != "ready":
                return 200 if group.state == "open" else 409
            self.accepted += 1
            asyncio.create_task(self.open(group))
            return 202
        if operation == "close":
            if group.state != "open":
                return 409
            self.accepted += 1
            group.state = "closing"
            asyncio.create_task(self.close(group))
            return 202
        if operation == "leave":
            self.accepted += 1
            self.group = None
            return 200
        return 400

    def join(self, order):
        if order["epoch"] < self.highest_epoch or self.name not in order["members"]:
            return 412
        new = Group(order, order["members"].index(self.name))
        if new.is_same(self.group):
            return 200 if new.members == self.group.members else 412
        self.check_two(new)
        self.accepted += 1
        self.highest_epoch = new.epoch
        self.group = new
        asyncio.create_task(self.become_ready(new))
        return 202

    def check_two(self, new):
        """Notes a join of another group while the head of the server's group is open or closing."""
        if self.group is None:
            return
        head = self.head(self.group)
        if self.group.is_same(head.group) and head.group.state in ("open", "closing"):
            breach = (f"TWO: {self.name} takes a join of {new.name} while the head {head.name} of "
                      f"its group {self.group.name} is {head.group.state} "
                      f"with {len(head.running)} requests")
            ModelServer.breaches.append(breach)
            self.record.add(breach)

    async def become_ready(self, group):
        figures = MODELS[group.model]
        if self.last_model == group.model:
            span = SAME_MODEL_S
        elif group.model in self.staged:
            span = figures["warm_s"]
        else:
            span = figures["load_s"] * (1 if ModelServer.has_traffic else 0.1)
        await asyncio.sleep(span)
        if self.group is group:
            group.state = "ready"
            self.last_model = group.model
            if group.model not in self.staged:
                self.staged = [group.model]
            await self.register()

    async def stage(self, model):
        await asyncio.sleep(MODELS[model]["load_s"] * (1 if ModelServer.has_traffic else 0.1))
        self.staged = [model]
        await self.register()

    async def open(self, group):
        await asyncio.sleep(FORM_S)
        if self.group is not group:
            return
        group.state = "open"
        self.record.add("open", self.name, group.name)
        await self.register()
        still_since = None
        while self.group is group and group.state in ("open", "closing"):
            if not self.stands_still(group):
                still_since = None
            elif still_since is None:
                still_since = now()
            elif now() - still_since >= STALL_S:
                group.state = "broken"
                await self.register()
            await asyncio.sleep(0.02)

    async def close(self, group):
        while self.running and self.group is group:
            await asyncio.sleep(0.02)
        if self.group is group and group.state == "closing":
            group.state = "ready"
            await self.register()
