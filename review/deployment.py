"""A small deployment on loopback addresses: larchpin-platformd as separate processes, and stand-ins for the
databases, the platform, the operator and the clients.

The stand-ins follow PROTOCOL.md. Each machine has a loopback address of its own. Everything that is sent,
answered and run goes to record.txt in the folder of the case.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
PROGRAM = "target/larchpin-platformd"
TEMPLATE = "deploy/settings.toml.template"
ZONES = ["z1", "z2", "z3"]
# Of the small site smbs-ci.
BOUNDS = {"seed_propagation_s": 3, "address_reuse_s": 2, "connectivity_window_ms": 4000, "ack_timeout_ms": 5000,
          "catch_up_s": 4, "drain_timeout_ms": 7000, "grace_period_s": 6, "loss_tolerance_ms": 200,
          "config_apply_ms": 3000, "version_regression_ms": 250, "outer_ms": 12000, "recovery_s": 12,
          "fencing_enforced": True, "freeze_slack_ms": 300}
HEARTBEAT_S = 1.2
PROMOTE_S = 0.3
REPLICATION_S = 0.0014
APPLY_S = 0.06
SLOTS = 3
MAX_CONNECTIONS = 23
WORK_S = 0.006
HANDSHAKE_S = 0.012
CALL_TIMEOUT_S = 1.0
INTERNAL_PORT = 7440
CONTROL_PORT = 8782
ENTRY_PORT = 8784
READY_PORT = 8785
SERVICE = "svc7a"


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, who, what):
        self.file.write(f"{self.now():9.4f} {who}: {what}\n")
        self.file.flush()


# ---------------------------------------------------------------------------------------------------------
# The platform's settings template (DEPLOY.md)
# ---------------------------------------------------------------------------------------------------------

TAG = re.compile(r"\{\{([#^/]?)([^}|]+?)(\|json)?\}\}")


def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(v) for v in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, scopes, comma=""):
    out, at = "", 0
    while True:
        tag = TAG.search(text, at)
        if tag is None:
            return out + text[at:]
        out += text[at:tag.start()]
        kind, name = tag.group(1), tag.group(2)
        if kind == "":
            out += comma if name == "," else as_text(lookup(scopes, name), tag.group(3))
            at = tag.end()
            continue
        end = text.index("{{/" + name + "}}", tag.end())
        body = text[tag.end():end]
        at = end + len(name) + 5
        value = lookup(scopes, name)
        if kind == "^":
            out += "" if value else render(body, scopes)
        elif isinstance(value, (list, dict)):
            entries = list(value) if isinstance(value, list) else list(value.values())
            for i, entry in enumerate(entries):
                out += render(body, scopes + [entry], "," if i + 1 < len(entries) else "")
        elif value is not None and value is not False:
            out += render(body, scopes + [value])


# ---------------------------------------------------------------------------------------------------------
# HTTP, one call a connection
# ---------------------------------------------------------------------------------------------------------

async def http(address, method, path, body=None, timeout=CALL_TIMEOUT_S):
    """Returns (status, body); status 0 where no answer came."""
    host, port = address.rsplit(":", 1)
    payload = b"" if body is None else json.dumps(body).encode()

    async def call():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\nConnection: close\r\n\r\n")
            writer.write(head.encode() + payload)
            answer = await reader.read()
            first, _, rest = answer.partition(b"\r\n")
            return int(first.split()[1]), rest.partition(b"\r\n\r\n")[2].decode()
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, ""


async def serve_http(address, handler):
    host, port = address.rsplit(":", 1)

    async def on_connection(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            method, path = lines[0].split()[:2]
            headers = {k.strip().lower(): v.strip() for k, v in (h.split(":", 1) for h in lines[1:] if ":" in h)}
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            status, answer = await handler(method, path, headers, body)
            writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(answer)}"
                          f"\r\nConnection: close\r\n\r\n{answer}").encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, int(port))


# ---------------------------------------------------------------------------------------------------------
# Databases
# ---------------------------------------------------------------------------------------------------------

class Group:
    """The databases of one service, and what they agree on: who leads which term."""

    def __init__(self, site, sync):
        self.site = site
        self.sync = sync
        self.term = 1
        self.databases = []

    def primary(self):
        return next((d for d in self.databases if d.role == "primary"), None)

    def promote(self, chosen):
        """The named database leads the next term with what it had received."""
        self.term += 1
        for d in self.databases:
            d.role = "primary" if d is chosen else "replica"
        chosen.apply_all()
        for d in self.databases:
            if d is not chosen and d.running and len(d.log) > len(chosen.log):
                d.log = d.log[:len(chosen.log)]
                d.applied = min(d.applied, len(d.log))
        self.site.record.add("platform", f"{chosen.id} leads term {self.term} with a log of {len(chosen.log)}")
        for d in self.databases:
            d.term = self.term
            d.beat_soon()


class Database:
    def __init__(self, group, number, zone, address):
        self.group = group
        self.site = group.site
        self.id = f"i-{number}{zone}"
        self.zone = zone
        self.address = address
        self.role = "primary" if number == 1 else "replica"
        self.term = 1
        self.log = []  # entries: (id of the statement that committed it, {item: data})
        self.applied = 0
        self.running = False
        self.deaf = False  # receives nothing from the primary
        self.cut_from = set()  # callers (STARTUP's word) whose link is cut, and "control" for its own calls
        self.dark = False  # answers nothing and sends nothing, but ends no connection
        self.state = "ready"
        self.busy = 0
        self.writers = set()
        self.sequence = 0
        self.born = 0
        self.receiving = None
        self.beat_wanted = asyncio.Event()
        self.acknowledged_draining = asyncio.Event()
        self.tasks = []

    # -- life ----------------------------------------------------------------------------------------------

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = True
        self.server = await asyncio.start_server(self.on_connection, host, int(port), limit=2 ** 21)
        self.tasks = [asyncio.create_task(self.beat_forever()), asyncio.create_task(self.replicate())]
        self.site.record.add(self.id, f"starts as {self.role}, position {self.position()}")

    def crash(self):
        """The process ends: its connections are reset, and nothing answers at its address."""
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()
        self.site.record.add(self.id, f"crashes at position {self.position()}")

    def position(self):
        return f"{self.term}.{self.applied}"

    def received(self):
        return f"{self.term}.{len(self.log)}"

    def apply_all(self):
        self.applied = len(self.log)

    def value_of(self, item):
        for _, changes in reversed(self.log[:self.applied]):
            if item in changes:
                return changes[item]
        return None

    # -- replication ---------------------------------------------------------------------------------------

    async def replicate(self):
        """A replica follows the primary: it receives over the network, and applies a while later."""
        while self.running:
            await asyncio.sleep(REPLICATION_S)
            source = self.group.primary()
            if self.role == "primary":
                self.apply_all()
            elif source is not None and source.running and not self.deaf and not self.dark:
                if len(source.log) > len(self.log):
                    self.log = list(source.log)
                    asyncio.get_running_loop().call_later(APPLY_S, self.apply_to, len(self.log))

    def apply_to(self, length):
        self.applied = max(self.applied, min(length, len(self.log)))

    async def commit(self, statement, changes):
        if not changes:
            return
        self.log.append((statement, changes))
        self.apply_all()
        length = len(self.log)
        if self.group.sync > 0:
            while not any(d is not self and d.running and len(d.log) >= length for d in self.group.databases):
                await asyncio.sleep(REPLICATION_S)

    # -- heartbeats ----------------------------------------------------------------------------------------

    def beat_soon(self):
        self.beat_wanted.set()

    async def beat_forever(self):
        while self.running:
            self.beat_wanted.clear()
            await self.beat()
            try:
                await asyncio.wait_for(self.beat_wanted.wait(), HEARTBEAT_S)
            except asyncio.TimeoutError:
                pass

    async def tell(self, call, body):
        for control in self.site.controls_in_order():
            if self.dark or "control" in self.cut_from:
                return False
            status, _ = await http(control, "POST", f"/larchpin/instances/{self.id}/{call}", body)
            if 200 <= status < 300:
                return True
        return False

    async def beat(self):
        self.sequence += 1
        state = self.state
        done = await self.tell("heartbeat", {
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1", "capacity": SLOTS,
            "state": state, "warmup_remaining_ms": 0, "database_role": self.role, "born": self.born,
            "sequence_number": self.sequence})
        self.site.record.add(self.id, f"heartbeat {self.sequence} {state} {self.role}: "
                                      f"{'acknowledged' if done else 'not acknowledged'}")
        if done and state == "draining":
            self.acknowledged_draining.set()

    async def drain(self):
        """A planned shutdown: serves on for drain_timeout_ms after the acknowledgement, then leaves."""
        self.state = "draining"
        self.site.record.add(self.id, "begins a planned shutdown: draining")
        self.beat_soon()
        await self.acknowledged_draining.wait()

    async def leave(self):
        done = await self.tell("deregister", {"born": self.born})
        self.site.record.add(self.id, f"deregister: {'acknowledged' if done else 'not acknowledged'}")
        if self.running:
            self.crash()

    # -- connections ---------------------------------------------------------------------------------------

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await Connection(self, reader, writer).serve()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    def __init__(self, database, reader, writer):
        self.db = database
        self.reader = reader
        self.writer = writer
        self.who = ""
        self.state = "I"
        self.read_only = False
        self.changes = {}
        self.prepared = {}

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def ready(self):
        return f"READY {self.state} {self.db.position()}"

    def is_cut(self):
        return self.db.dark or self.who in self.db.cut_from

    async def serve(self):
        line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
        words = line.split(" ", 3)
        self.who = words[2] if len(words) > 2 else ""
        if self.is_cut():
            await asyncio.sleep(3600)
        if words[0] != "STARTUP" or words[1] != SERVICE or (len(words) > 3 and words[3] != self.db.id):
            self.send("ERROR WRONGNODE another database")
            return
        if len(self.db.writers) > MAX_CONNECTIONS:
            self.send("ERROR TOOMANY connections")
            return
        await asyncio.sleep(HANDSHAKE_S)
        self.send(self.ready())
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            if self.is_cut():
                await asyncio.sleep(3600)
            if line == "TERMINATE":
                return
            _, statement, text = line.split(" ", 2)
            await self.run(statement, text)

    def refuse(self, code, text=""):
        if self.state == "T":
            self.state = "E"
        self.send(f"ERROR {code} {text or self.db.id}", self.ready())

    async def run(self, statement, text):
        verb, _, rest = text.partition(" ")
        if verb == "RESET":
            self.prepared = {}
            self.send("COMPLETE -", self.ready())
        elif verb == "SET":
            self.send("COMPLETE -", self.ready())
        elif verb == "PREPARE":
            name, kind, _ = rest.split(" ")
            self.prepared[name] = kind
            self.send("COMPLETE -", self.ready())
        elif verb == "ROLLBACK":
            self.end()
            self.send("COMPLETE -", self.ready())
        elif self.db.busy >= SLOTS:
            self.refuse("BUSY")
        else:
            self.db.busy += 1
            try:
                await asyncio.sleep(WORK_S)
                await self.run_in_slot(statement, verb, rest, text)
            finally:
                self.db.busy -= 1

    def end(self):
        self.state = "I"
        self.read_only = False
        self.changes = {}

    async def run_in_slot(self, statement, verb, rest, text):
        db = self.db
        if verb == "STATUS":
            self.send(f"DATAROW {db.role} {db.term} {db.received()} {db.term} 0 {db.busy} {len(db.writers)}",
                      "COMPLETE -", self.ready())
            return
        if verb == "WAITLSN":
            mark, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
            term, number = (int(n) for n in mark.split("."))
            if (db.term, db.applied) < (term, number) or db.applied < number:
                self.refuse("LAGGING")
                return
        if self.state == "E":
            self.refuse("MALFORMED", "the transaction has failed")
            return
        if text == "BEGIN" and db.role != "primary":
            self.refuse("READONLY")
            return
        if verb == "BEGIN":
            self.state, self.read_only = "T", rest == "FETCH"
            self.send("COMPLETE -", self.ready())
            return
        if self.state == "T" and not self.read_only and db.role != "primary":
            if text != "COMMIT" or self.changes:
                self.refuse("READONLY")
                return
        if text == "COMMIT":
            changes = self.changes
            self.end()
            await self.finish(statement, text, changes, [])
            return
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                self.refuse("NOSTMT")
                return
            verb = self.prepared[name]
        item, _, data = rest.partition(" ")
        if verb == "FETCH":
            value = self.changes.get(item, db.value_of(item))
            await self.finish(statement, text, {}, [] if value is None else [f"DATAROW {value}"])
        elif verb == "STORE" and db.role != "primary":
            self.refuse("READONLY")
        elif verb == "STORE" and self.state == "T":
            self.changes[item] = data
            await self.finish(statement, text, {}, [])
        elif verb == "STORE":
            await self.finish(statement, text, {item: data}, [])
        else:
            self.refuse("MALFORMED", "not understood")

    async def finish(self, statement, text, changes, rows):
        await self.db.commit(statement, changes)
        if not self.db.running:
            return
        self.db.site.record.add(self.db.id, f"runs {statement} {text} for {self.who} as {self.db.role}, "
                                            f"rows {rows}, position now {self.db.position()}")
        self.send(*rows, f"COMPLETE {self.db.id}.{statement}.{self.db.position()}", self.ready())


# ---------------------------------------------------------------------------------------------------------
# Clients
# ---------------------------------------------------------------------------------------------------------

class Client:
    """One session. ask() returns (rows, signature, error); error "closed" where no whole answer came."""

    next_id = 1

    def __init__(self, site, name, entry, host):
        self.site = site
        self.name = name
        self.entry = entry
        self.host = host
        self.writer = None

    async def open(self):
        self.close()
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.entry.ip, ENTRY_PORT), 2.0)
            self.writer.write(f"STARTUP {self.host} {self.name}\r\n".encode())
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)).decode()[:-2]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return False
        if not line.startswith("READY I"):
            self.close()
            return False
        return True

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def ask(self, text, deadline=2.5):
        if self.writer is None and not await self.open():
            return [], "", "no session"
        statement = f"{Client.next_id:016x}"
        Client.next_id += 1
        sent = self.site.record.now()
        self.site.record.add(self.name, f"sends {statement} {text} to {self.entry.name} ({self.host})")
        try:
            self.writer.write(f"QUERY {statement} {text}\r\n".encode())
            rows, signature, error = await asyncio.wait_for(self.receive(), deadline)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            rows, signature, error = [], "", "closed"
            self.close()
        took = (self.site.record.now() - sent) * 1000
        self.site.record.add(self.name, f"is answered {statement} rows {rows} signature "
                                        f"{signature or '-'} error {error or '-'} after {took:.0f} ms")
        return rows, signature, error


    async def receive(self):
        rows, signature, error = [], "", ""
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                error = rest
            elif word == "READY":
                if not rest.startswith("I"):
                    self.close()
                return rows, signature, error


# ---------------------------------------------------------------------------------------------------------
# The deployment
# ---------------------------------------------------------------------------------------------------------

class Machine:
    def __init__(self, name, kind, zone, ip):
        self.name = name
        self.kind = kind
        self.zone = zone
        self.ip = ip
        self.process = None
        self.ended = None  # (when, exit code) of an end that the test didn't ask for
        self.stopping = False


class Site:
    def __init__(self, folder, sync=0, fronts=(1, 1, 1)):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="larchpin-review-")
        block = self.free_block()
        self.cores = [Machine(f"core-{z}-1", "core", z, f"127.{block}.{i + 1}.1") for i, z in enumerate(ZONES)]
        self.fronts = [Machine(f"frontend-{z}-{n + 1}", "frontend", z, f"127.{block}.{i + 1}.{n + 11}")
                       for i, z in enumerate(ZONES) for n in range(fronts[i])]
        self.cloud = f"127.{block}.9.1:8783"
        self.group = Group(self, sync)
        for i, z in enumerate(ZONES):
            self.group.databases.append(Database(self.group, i + 1, z, f"127.{block}.{i + 1}.64:8080"))
        self.sync = sync
        self.version = 0
        self.highest_token = {}
        self.promotions = []  # (database, acknowledged positions lacking)
        self.on_promotion = lambda database: None
        self.first_start = True
        self.rotation = 0

    @staticmethod
    def free_block():
        """The second part of this site's loopback addresses: one that no other site uses now."""
        for block in random.sample(range(16, 216), 50):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((f"127.{block}.9.1", 8783))
                    return block
                except OSError:
                    continue
        raise CannotRun("no free loopback addresses")

    # -- processes -----------------------------------------------------------------------------------------

    def settings_of(self, m):
        listen = ({"control_plane": f"{m.ip}:{CONTROL_PORT}"} if m.kind == "core"
                  else {"frontend": f"{m.ip}:{ENTRY_PORT}", "ready": f"{m.ip}:{READY_PORT}"})
        data = os.path.join(self.temporary, m.name) if m.kind == "core" else None
        return {"node_name": m.name, "role": "control" if m.kind == "core" else "entry", "machine_class": m.kind,
                "ip_address": m.ip, "zone": m.zone, "region": "r1", "zones": {z: "r1" for z in ZONES},
                "listen_addrs": listen, "internal_port_range": [INTERNAL_PORT, INTERNAL_PORT + 15],
                "seed_nodes": [f"{c.ip}:{CONTROL_PORT}" for c in self.cores], "is_bootstrap": self.first_start,
                "data_directory": data, "heartbeat_interval_ms": int(HEARTBEAT_S * 1000),
                "fault_tolerance": {"node_failures": 1, "zones": 1, "region_failures": 0}, "bounds": BOUNDS,
                "cloud_api": {"address": self.cloud, "rate_per_s": 50.0, "duties": ["failover"],
                              "duties_per_s": 50.0}}

    async def start_machine(self, m):
        path = os.path.join(self.temporary, m.name + ".toml")
        with open(os.path.join(REPOSITORY, TEMPLATE), encoding="utf-8") as template:
            text = render(template.read(), [self.settings_of(m)])
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        if m.kind == "core":
            os.makedirs(os.path.join(self.temporary, m.name), exist_ok=True)
        log = open(os.path.join(self.temporary, m.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.temporary, "LANG": "C.UTF-8",
                       "LARCHPIN_NODE_FILE": path}
        m.stopping = False
        m.process = await asyncio.create_subprocess_exec(
            os.path.join(REPOSITORY, PROGRAM), cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.record.add(m.name, f"process {m.process.pid} started")
        asyncio.create_task(self.watch(m, m.process))

    async def watch(self, m, process):
        code = await process.wait()
        if not m.stopping:
            m.ended = (self.record.now(), code)
            self.record.add(m.name, f"process {process.pid} ended by itself with {code}")

    def signal(self, m, number):
        m.stopping = m.stopping or number in (signal.SIGKILL, signal.SIGTERM)
        self.record.add(m.name, f"gets {signal.Signals(number).name}")
        m.process.send_signal(number)

    async def start(self):
        if not os.path.exists(os.path.join(REPOSITORY, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is missing: build as the deploy file says")
        try:
            self.cloud_server = await serve_http(self.cloud, self.answer_cloud)
            for d in self.group.databases:
                await d.start()
        except OSError as e:
            raise CannotRun(f"an address is in use: {e}") from e
        for m in self.cores + self.fronts:
            await self.start_machine(m)
        self.first_start = False
        await self.wait_for(lambda: self.send_configuration(1), 15, "the configuration is not acknowledged")
        await self.wait_for(self.are_fronts_ready, 15, "the entries are not ready")

    async def wait_for(self, holds, seconds, why):
        end = time.monotonic() + seconds
        while not await holds():
            if time.monotonic() > end:
                raise CannotRun(why)
            await asyncio.sleep(0.1)

    async def are_fronts_ready(self):
        for m in self.fronts:
            status, _ = await http(f"{m.ip}:{READY_PORT}", "GET", "/larchpin/readiness")
            if status != 200:
                return False
        return True

    def controls_in_order(self):
        self.rotation += 1
        n = len(self.cores)
        return [f"{self.cores[(self.rotation + i) % n].ip}:{CONTROL_PORT}" for i in range(n)]

    async def send_configuration(self, version):
        body = {"version": version,
                "routes": [self.route("shop", "read_your_writes"), self.route("strict", "primary"),
                           self.route("poll", "bounded_staleness")],
                "services": [{"name": SERVICE, "health_path": "/health", "max_connections": MAX_CONNECTIONS,
                              "protocol": "h1", "tls_enabled": False, "sync_replica_count": self.sync}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000, "txn_idle_ms": 3000}}
        status, answer = await http(self.controls_in_order()[0], "POST", "/larchpin/config/replace", body)
        self.record.add("operator", f"sends version {version}: {status} {answer[:80]}")
        return status == 200

    @staticmethod
    def route(host, consistency):
        return {"name": "r-" + host, "host": host, "path_prefix": "/", "read_consistency": consistency,
                "timeout_ms": 800, "target_latency_ms": 250, "priority": 1, "service": SERVICE,
                "max_attempts": 2, "max_staleness_ms": 1500}

    # -- the platform --------------------------------------------------------------------------------------

    async def answer_cloud(self, method, path, headers, body):
        if (method, path) != ("POST", "/promote"):
            return 404, "{}"
        order = json.loads(body)
        token = int(headers.get("fencing-token", "0"))
        subject = order["service"]
        chosen = next((d for d in self.group.databases if d.id == order["instance_id"]), None)
        refused = token < self.highest_token.get(subject, 0) or chosen is None or not chosen.running
        self.highest_token[subject] = max(token, self.highest_token.get(subject, 0))
        self.record.add("platform", f"promote {order['instance_id']} with token {token} by "
                                    f"{headers.get('lease-holder')}: {409 if refused else 200}")
        if refused:
            return 409, "{}"
        if chosen.role != "primary":
            asyncio.get_running_loop().call_later(PROMOTE_S, self.carry_out, chosen, token)
        return 200, "{}"

    def carry_out(self, chosen, token):
        if token < self.highest_token[SERVICE] or not chosen.running or chosen.role == "primary":
            return
        self.on_promotion(chosen)
        self.group.promote(chosen)

    # -- the end -------------------------------------------------------------------------------------------

    async def stop(self):
        for m in self.cores + self.fronts:
            if m.process is not None and m.process.returncode is None:
                m.stopping = True
                m.process.kill()
                await m.process.wait()
        for m in self.cores + self.fronts:
            self.keep_warnings(m)
        shutil.rmtree(self.temporary, ignore_errors=True)

    def keep_warnings(self, m):
        """The last lines that a process wrote above the level of information."""
        try:
            with open(os.path.join(self.temporary, m.name + ".log"), encoding="utf-8", errors="replace") as log:
                lines = [line.rstrip() for line in log if '"level":"info"' not in line]
        except OSError:
            return
        for line in lines[-40:]:
            self.record.file.write(f"log of {m.name}: {line}\n")
        self.record.file.flush()


def run(play, trouble, seconds=110):
    """Plays a case; exits with 1 where the rule was broken, 0 where it held, 2 where the case couldn't run."""
    async def whole():
        folder = os.path.dirname(os.path.abspath(sys.argv[0]))
        sites = []
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)

        def make_site(**options):
            sites.append(Site(folder, **options))
            return sites[-1]

        try:
            return await asyncio.wait_for(play(make_site, trouble), seconds)
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as e:
            print(f"cannot run: {e!r}")
            if sites:
                sites[-1].record.add("case", f"cannot run: {e!r}")
            return 2
        finally:
            for s in sites:
                await s.stop()

    code = asyncio.run(whole())
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    os._exit(code)
