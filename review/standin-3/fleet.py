"""Stand-ins for a small deployment: the platform's store, plain servers, clients, and nodes as processes."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
STORE_ANSWER_S = 0.004
HISTORY_S = 20.0


def free_range(count):
    """Returns the first of some ports in a row that were free a moment ago, below those of outgoing connections."""
    for _ in range(500):
        first = random.randrange(15000, 32000)
        held = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    held.append(one)
                    if kind == socket.SOCK_STREAM:
                        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    one.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise RuntimeError("no free ports in a row")


def free_port():
    return free_range(1)


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Reads a head; returns its first line and its headers with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Reads a chunked body; returns it and whether its last chunk has arrived."""
    body = b""
    try:
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    except (ValueError, asyncio.IncompleteReadError, ConnectionError):
        return body, False


async def read_request_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return (await read_chunks(reader))[0]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def reset(writer):
    """Closes a connection so that its peer sees a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store, as far as PROTOCOL.md tells it."""

    def __init__(self, port):
        self.port = port
        self.items = {}
        self.revision = 10
        self.leases = {}
        self.next_lease = 500
        self.history = []
        self.changed = asyncio.Event()
        # While the store is down it resets all calls.
        self.away = False
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.converse, "127.0.0.1", self.port)
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def note(self, event):
        self.history.append((time.monotonic(), event))
        limit = time.monotonic() - HISTORY_S
        while self.history and self.history[0][0] < limit:
            self.history.pop(0)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, key, value, lease=0, step=True):
        if step:
            self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.note(item)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def delete(self, key, step=True):
        if key not in self.items:
            return
        if step:
            self.revision += 1
        del self.items[key]
        self.note({"key": key, "revision": self.revision, "tombstone": True})

    def set_away(self, away):
        self.away = away
        if away:
            for writer in list(self.connections):
                reset(writer)

    async def converse(self, reader, writer):
        if self.away:
            reset(writer)
            return
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_request_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            # A call under way is cancelled at the end of a case.
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        call = path.removeprefix("/jackdawstair/")
        if call == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if call == "kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "more_pages": len(keys) > 500, "current_rev": self.revision}
        if call == "kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if call == "kv-txn":
            return self.commit(json.loads(body))
        if call == "kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        name, _, lease = call.partition("/")
        if name == "kv-keep":
            known = self.leases.get(int(lease))
            if not known:
                return 404, {}
            self.leases[int(lease)] = (known[0], time.monotonic() + known[0] / 1000)
            return 200, {"ttl_ms": known[0]}
        if name == "kv-lease-end":
            self.end_lease(int(lease))
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            if after > self.revision:
                return 410, {}
            first = self.history[0][1]["revision"] if self.history else self.revision + 1
            if after + 1 < first and after < self.revision:
                return 410, {}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        mismatch = False
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            mismatch |= (item["revision"] if item else 0) != row["revision"]
        if mismatch:
            keys = [row["key"] for row in body["expected"]]
            return 412, {"items": [self.items.get(key, {"key": key, "revision": 0}) for key in keys]}
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0), step=False)
        for key in body.get("delete", []):
            self.delete(key, step=False)
        return 200, {"revision": self.revision}


class Node:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, name, zone, zones, store_port, directory, record, **bounds):
        self.name = name
        self.record = record
        first = free_range(10)
        self.front = first
        self.ready = first + 1
        settings = {
            "node_name": name, "role": "entry", "machine_class": "front", "serves": "front",
            "ip": "127.0.0.1", "zone": zone, "region": "region-a",
            "listen.front": f"127.0.0.1:{self.front}", "listen.ready": f"127.0.0.1:{self.ready}",
            "internal_ports": f"{first + 2},{first + 9}", "bootstrap": "true",
            "limits.cpu_share": "0.25", "limits.cores": "1", "limits.memory_mb": "260", "limits.max_fds": "4200",
            "discovery": "platform", "entry": "vip", "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,gangs",
            "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.loss_slack_ms": "200",
            "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "130", "bounds.stable_window_ms": "3000",
            "bounds.stall_ms": "4000", "platform.address": f"127.0.0.1:{store_port}", "platform.form": "kv",
            "platform.ttl_min_ms": "1000",
        }
        settings.update({f"zones.{one}": "region-a" for one in zones})
        settings.update(bounds)
        self.settings = os.path.join(directory, f"{name}.conf")
        self.log = os.path.join(directory, f"{name}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("".join(f"{key}={value}\n" for key, value in settings.items()))
        self.process = None

    async def start(self):
        program = os.path.join(ROOT, "target", "release", "jackdawd")
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            program, "gateway", cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "JACKDAWSTAIR_CONFIG": self.settings},
        )
        self.record.line(f"node {self.name} started")

    def signal(self, number):
        self.record.line(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            status, _ = await ask(self.ready, "/jackdawstair/readyz")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"node {self.name} isn't ready")

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def ask(port, path):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        line, headers = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return int(line.split()[1]), headers
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}


class Answer:
    def __init__(self, status, headers, body, is_whole, ended):
        self.status = status
        self.headers = headers
        self.body = body
        # Whether the answer looks complete to its client.
        self.is_whole = is_whole
        self.ended = ended


async def request(port, method, path, rid, deadline_ms, body=b"", headers=None, on_head=None):
    """Sends a request on a new connection and reads its answer until the client's deadline."""
    lines = [
        f"{method} {path} HTTP/1.1", "Host: front.example", f"X-Jackdawstair-Request-Id: {rid}",
        f"X-Jackdawstair-Deadline-Ms: {deadline_ms}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    got = {"status": 0, "headers": {}, "body": b"", "whole": False}

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(data)
            while True:
                line, answer_headers = await read_head(reader)
                got["status"] = int(line.split()[1])
                if got["status"] >= 200:
                    break
            got["headers"] = answer_headers
            if on_head:
                on_head()
            if answer_headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readline()).split(b";")[0], 16)
                    chunk = await reader.readexactly(size + 2)
                    if size == 0:
                        got["whole"] = True
                        return
                    got["body"] += chunk[:-2]
            elif "content-length" in answer_headers:
                left = int(answer_headers["content-length"])
                while left:
                    piece = await reader.read(left)
                    if not piece:
                        return
                    got["body"] += piece
                    left -= len(piece)
                got["whole"] = True
            else:
                while piece := await reader.read(65536):
                    got["body"] += piece
                got["whole"] = True
        finally:
            writer.close()

    ended = "end"
    try:
        await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except asyncio.TimeoutError:
        ended = "client's deadline"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        ended = f"connection: {type(error).__name__}"
    return Answer(got["status"], got["headers"], got["body"], got["whole"], ended)


def configuration(version, routes, services, **more):
    document = {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }
    document.update(more)
    return document


def route(name, prefix, kind, service, timeout_ms, **more):
    entry = {"name": name, "hostname": "front.example", "prefix": prefix, "route_type": kind,
             "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1, "service": service,
             "max_attempts": 1 if kind == "unsafe" else 2, "allow_anonymous": False, "sticky": False}
    entry.update(more)
    return entry


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": False}


def run_case(main):
    """Runs a case; exits with 2 if it couldn't run. A case that is told to end ends what it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(main())
    except (OSError, RuntimeError) as error:
        print(f"the case couldn't run: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)
