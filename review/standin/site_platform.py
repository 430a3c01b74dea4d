"""Stand-ins for the users' platform: the store, the entry VMs' processes and plain HTTP helpers.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import copy
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Lines of record.txt."""

    def __init__(self, path):
        self.lines = []
        self.path = path

    def add(self, *words):
        self.lines.append(f"{now():8.3f}  " + " ".join(str(word) for word in words))

    def save(self, *summary):
        with open(self.path, "w") as file:
            file.write("\n".join(summary) + "\n\n")
            file.write("\n".join(sorted(self.lines)) + "\n")

    def append_logs(self, nodes, words):
        """Appends the lines of the nodes' logs with one of the words, for the search of a cause."""
        with open(self.path, "a") as file:
            file.write("\nfrom the nodes' logs, which the verdict does not use:\n")
            for node in nodes:
                with open(node.log) as log:
                    file.writelines(line for line in log if any(word in line for word in words))


def free_ports(count, ip="127.0.0.1"):
    """Returns the first of `count` successive ports that are free on an address."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            first = probe.getsockname()[1]
        # Below the usual range of ephemeral ports, so that no connection takes them meanwhile.
        first = 12_000 + first % 18_000
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
            return first
        except OSError:
            continue


async def read_head(reader):
    """Reads a request line or status line and headers; returns none at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    return body


def message(status, body=b"", headers=()):
    """Encodes an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's key-value store, which may be away and come back from an older copy."""

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.history = []
        self.history_from = 0
        self.leases = {}
        self.last_lease = 100
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Condition()
        self.writers = set()
        self.copies = []

    async def start(self):
        self.server = await asyncio.start_server(self.converse, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        self.tasks = [asyncio.create_task(self.expire()), asyncio.create_task(self.make_copies())]

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.is_away:
                for lease in [k for k, (end, _) in self.leases.items() if end < now()]:
                    await self.end_lease(lease)

    async def make_copies(self):
        """Keeps copies of the last seconds."""
        while True:
            if not self.is_away:
                kept = (now(), copy.deepcopy(self.items), self.revision, dict(self.leases))
                self.copies = [old for old in self.copies if old[0] > now() - 20] + [kept]
            await asyncio.sleep(0.2)

    async def restore(self, taken_before):
        """Comes back with the latest copy that was taken before a time, and returns its time."""
        taken, items, revision, leases = [c for c in self.copies if c[0] <= taken_before][-1]
        self.items = copy.deepcopy(items)
        self.revision = self.history_from = revision
        self.history = []
        self.leases = {key: (now() + ttl, ttl) for key, (_, ttl) in leases.items()}
        self.era += 1
        for writer in list(self.writers):
            writer.close()
        self.is_away = False
        async with self.changed:
            self.changed.notify_all()
        return taken

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.delete(key)

    def value(self, key):
        """Returns the decoded value of a key, or an empty one."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else {}

    async def put(self, key, value, lease=0):
        """Writes a value; one that is no bytes is written as JSON. Returns the revision, or none."""
        if self.is_away:
            return None
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": lease,
        }
        revision = self.revision
        self.history.append((revision, key, dict(self.items[key])))
        async with self.changed:
            self.changed.notify_all()
        return revision

    async def delete(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            gone = {"key": key, "revision": self.revision, "tombstone": True}
            self.history.append((self.revision, key, gone))
            async with self.changed:
                self.changed.notify_all()

    async def converse(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                # A store that is away is silent.
                answer = None if self.is_away else await self.answer(line.split(" ")[1], body)
                if answer is None or self.is_away:
                    await reader.read()
                    return
                status, value = answer
                names = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(message(status, json.dumps(value).encode(), names))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target, body):
        path, _, query = target.partition("?")
        pairs = urllib.parse.parse_qs(query, keep_blank_values=True)
        query = {name: values[0] for name, values in pairs.items()}
        call = path.removeprefix("/jackdawstair/")
        if call == "kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"current_rev": self.revision}) if item else (404, {})
        if call == "kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": items, "more_pages": more, "current_rev": self.revision}
        if call == "kv-watch":
            return await self.watch(query)
        if call == "kv-txn":
            return await self.commit(json.loads(body))
        if call == "kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (now() + ttl / 1000, ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        name, _, lease = call.partition("/")
        if name == "kv-keep":
            if int(lease) not in self.leases:
                return 404, {}
            ttl = self.leases[int(lease)][1]
            self.leases[int(lease)] = (now() + ttl, ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if name == "kv-lease-end":
            await self.end_lease(int(lease))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after, end, era = int(query["after"]), now() + int(query["wait_ms"]) / 1000, self.era
        if after > self.revision or after < self.history_from:
            return 410, {}
        while True:
            if self.is_away or self.era != era:
                return None
            prefix = query["prefix"]
            events = [e for rev, key, e in self.history if rev > after and key.startswith(prefix)]
            if events or now() >= end:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass

    async def commit(self, body):
        rows = body.get("expected", [])
        state = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((state[r["key"]] or {"revision": 0})["revision"] != r["revision"] for r in rows):
            return 412, {"items": [state[k] or {"key": k, "revision": 0} for k in state]}
        if any(put.get("lease") and put["lease"] not in self.leases for put in body["puts"]):
            return 404, {}
        # Other calls go on while the watches are told, so the revision is the last write's own.
        revision = self.revision
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            revision = await self.put(put["key"], value, put.get("lease", 0))
        for key in body.get("delete", []):
            await self.delete(key)
        return 200, {"revision": revision}


class Node:
    """One entry VM with its process, started with the command of the deploy file."""

    def __init__(self, number, zone, zones, store, port, directory):
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.0.0.{10 + number}"
        self.front = (self.ip, port)
        self.ready = (self.ip, port + 1)
        self.log = f"{directory}/{self.name}.log"
        self.settings = f"{directory}/{self.name}.conf"
        self.process = None
        lines = [
            f"node_name={self.name}", "role=entry", "machine_class=front", "serves=front",
            f"ip={self.ip}", f"zone={zone}", "region=region-a",
            f"listen.front={self.ip}:{port}", f"listen.ready={self.ip}:{port + 1}",
            f"internal_ports={port + 2},{port + 9}", "bootstrap=true",
            "counted_in_tolerance=false", "limits.cpu_share=0.25", "limits.cores=1",
            "limits.memory_mb=260", "limits.max_fds=4200", "limits.link_mbps=1000.0",
            "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,gangs",
            "fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
            "bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.stable_window_ms=3000",
            "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
            "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
            "bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.fail_closed=false",
            "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10",
            "bounds.budget_slack=130", "bounds.recover_s=12", "bounds.pass_ms=120",
            "bounds.retry_after_s=0", "bounds.stall_ms=4000", "bounds.require_fencing=false",
            "bounds.ceiling_window_s=5", "bounds.ceiling_overshoot=1.1",
            f"platform.address={store[0]}:{store[1]}", "platform.form=kv",
            "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
            "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
        ] + [f"zones.{name}=region-a" for name in zones]
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "JACKDAWSTAIR_CONFIG": self.settings,
        }
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                ["target/release/jackdawd", "gateway"], env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        """Returns the resident memory of the process, or zero if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except FileNotFoundError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /jackdawstair/readyz HTTP/1.1\r\nHost: node\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds):
        end = now() + seconds
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 10000,
    "idle_timeout_ms": 60000,
}


def route(name, service, kind, timeout_ms, target_ms, attempts, **more):
    """Returns a route of the configuration."""
    return {
        "name": name, "hostname": "desk.example", "prefix": f"/{name}/", "route_type": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 1,
        "service": service, "max_attempts": attempts,
    } | more


def run(main):
    """Runs a script and ends with its exit code; 2 if it cannot run."""
    # The processes of the nodes are ended also if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(main())
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
