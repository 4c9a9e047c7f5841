"""A small deployment on loopback addresses for the cases of this review.

The daemons are the project's own `target/larchpin-platformd`, one process per machine, started from the
repository root with settings rendered from `deploy/settings.toml.template`. Databases, the platform (promotion
and its fence), the operator and the clients are small asyncio stand-ins that follow PROTOCOL.md.

Everything is written to a record: what was sent, answered and run.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
PROGRAM = os.path.join(REPO, "target", "larchpin-platformd")
SERVICE_MS = {"read": 8, "write": 6}


class CannotRun(Exception):
    """The case could not be brought about; exit code 2."""


# ---------------------------------------------------------------------------
# settings template (the subset of the platform's placeholders that it uses)
# ---------------------------------------------------------------------------

def lookup(fields, name):
    if name == ".":
        return fields[0]
    for scope in fields:
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


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(value) if isinstance(value, (dict, list)) else str(value)


def render(text, fields):
    tag = re.compile(r"\{\{(.*?)\}\}", re.S)
    out, at = [], 0
    while True:
        found = tag.search(text, at)
        if not found:
            return "".join(out) + text[at:]
        out.append(text[at:found.start()])
        name = found.group(1)
        at = found.end()
        if name[0] in "#^":
            end = text.index("{{/" + name[1:] + "}}", at)
            body = text[at:end]
            at = end + len(name) + 4
            value = lookup(fields, name[1:])
            present = value is not None and value is not False
            if name[0] == "^":
                out.append("" if present else render(body, fields))
            elif isinstance(value, list):
                for i, item in enumerate(value):
                    comma = body.replace("{{,}}", "," if i + 1 < len(value) else "")
                    out.append(render(comma, [item] + fields))
            elif present:
                out.append(render(body, fields))
        elif name.endswith("|json"):
            out.append(json.dumps(lookup(fields, name[:-5])))
        else:
            out.append(to_text(lookup(fields, name)))


# ---------------------------------------------------------------------------
# the record
# ---------------------------------------------------------------------------

class Record:
    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, text):
        self.file.write(f"{self.now():9.4f} {who:12s} {text}\n")


# ---------------------------------------------------------------------------
# databases
# ---------------------------------------------------------------------------

class Group:
    """A service: one primary and its replicas, and the log that they share."""

    def __init__(self, site, name):
        self.site = site
        self.name = name
        self.term = 1
        self.databases = []
        self.seen_token = 0

    def primary(self):
        return next((d for d in self.databases if d.role == "primary"), None)


class Database:
    """Speaks the wire protocol; replicas receive at once and apply `lag_s` later."""

    def __init__(self, site, group, name, zone, role):
        self.site, self.group, self.name, self.zone, self.role = site, group, name, zone, role
        self.ip = site.next_ip()
        self.port = site.port("db")
        self.log = []  # (term, number, id, item, data)
        self.applied = 0
        self.lag_s = 0.06
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beating = True
        self.connections = set()
        self.lose_answer = None  # called with (id, text): True to run it and answer nothing
        self.delay_s = None  # called with (id, text): seconds of work
        self.state = "ready"
        self.session = DatabaseSession

    def position(self):
        if not self.applied:
            return "-"
        term, number = self.log[self.applied - 1][:2]
        return f"{term}.{number}"

    def received(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else "-"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=4 << 20)
        self.beat_task = asyncio.create_task(self.beat_forever())

    async def beat_forever(self):
        while True:
            if self.beating:
                await self.beat()
            await asyncio.sleep(1.2)

    async def beat(self):
        self.sequence += 1
        body = {"service": self.group.name, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "capacity": 3, "state": self.state, "warmup_remaining_ms": 0,
                "database_role": self.role, "sequence_number": self.sequence, "born": self.born}
        cores = [n for n in self.site.nodes if n.core]
        random.shuffle(cores)
        for node in cores:
            status, _ = await http(node.ip, node.ports["control_plane"], "POST",
                                   f"/larchpin/instances/{self.name}/heartbeat", body)
            if 200 <= status < 300:
                return True
        return False

    def append(self, ident, item, data):
        number = (self.log[-1][1] if self.log else 0) + 1
        self.log.append((self.group.term, number, ident, item, data))
        self.applied = len(self.log)
        for other in self.group.databases:
            if other is not self and other.role == "replica":
                asyncio.create_task(other.receive(list(self.log)))

    async def receive(self, log):
        await asyncio.sleep(0.001)
        if len(log) > len(self.log):
            self.log = log
        length = len(log)
        await asyncio.sleep(self.lag_s)
        self.applied = max(self.applied, length)

    def value(self, item):
        for _, _, ident, key, data in reversed(self.log[:self.applied]):
            if key == item:
                return f"{data}"
        return "none"

    async def serve(self, reader, writer):
        session = self.session(self, writer)
        self.connections.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                if not await session.take(line.decode("latin-1").rstrip("\r\n")):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class DatabaseSession:
    def __init__(self, database, writer):
        self.db, self.writer = database, writer
        self.values, self.prepared = {}, {}
        self.state, self.pending, self.plain = "I", [], False
        self.opened = False

    def send(self, *lines):
        text = "".join(line + "\r\n" for line in lines)
        self.writer.write(text.encode("latin-1"))

    def ready(self):
        return f"READY {self.state} {self.db.position()}"

    async def take(self, line):
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            fields = rest.split(" ")
            right = fields[0] == self.db.group.name and (len(fields) < 3 or fields[2] == self.db.name)
            await asyncio.sleep(0.012)
            if not right:
                self.send(f"ERROR WRONGNODE {self.db.name}")
                return False
            self.opened = True
            self.send(self.ready())
            return True
        if word == "TERMINATE" or not self.opened:
            return False
        ident, _, text = rest.partition(" ")
        await self.query(ident, text)
        return True

    async def query(self, ident, text):
        floor = None
        whole = text
        if text.startswith("WAITLSN "):
            _, floor, text = text.split(" ", 2)
        verb, _, rest = text.partition(" ")
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return self.send("COMPLETE -", self.ready())
        if verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
            return self.send("COMPLETE -", self.ready())
        if verb == "DEALLOC":
            self.prepared.pop(rest, None)
            return self.send("COMPLETE -", self.ready())
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            if self.db.lose_answer and self.db.lose_answer(ident, text):
                return None
            return self.send("COMPLETE -", self.ready())
        if verb == "STATUS":
            self.send(f"DATAROW {self.db.role} {self.db.group.term} {self.db.received()} 0 0 0 "
                      f"{len(self.db.connections)}")
            return self.send("COMPLETE -", self.ready())
        if floor and not self.holds(floor):
            return self.send("ERROR LAGGING behind", self.ready())
        work = self.db.delay_s(ident, text) if self.db.delay_s else None
        await asyncio.sleep(0.006 if work is None else work)
        await self.run(ident, verb, rest, whole)

    def holds(self, floor):
        have = self.db.position()
        pair = lambda p: tuple(int(x) for x in p.split("."))
        return have != "-" and pair(have) >= pair(floor)

    async def run(self, ident, verb, rest, whole):
        db, note = self.db, self.db.site.record.note
        writes = verb == "STORE" or (verb == "EXECUTE" and self.prepared.get(rest.split(" ")[0], "")
                                     .startswith("STORE"))
        if verb == "BEGIN":
            if db.role != "primary" and rest != "FETCH":
                return self.send(f"ERROR READONLY {db.name}", self.ready())
            self.state, self.pending, self.plain = "T", [], rest != "FETCH"
            return self.send("COMPLETE -", self.ready())
        if verb == "ROLLBACK":
            self.state, self.pending = "I", []
            return self.send("COMPLETE -", self.ready())
        if verb == "EXECUTE":
            name, _, args = rest.partition(" ")
            if name not in self.prepared:
                return self.send("ERROR NOSTMT no such name", self.ready())
            rest = args
        if writes and db.role != "primary":
            self.state = "E" if self.state == "T" else self.state
            return self.send(f"ERROR READONLY {db.name}", self.ready())
        rows = []
        if verb == "COMMIT":
            for item, data in self.pending:
                db.append(ident, item, data)
            self.state, self.pending = "I", []
        elif writes:
            item, _, data = rest.partition(" ")
            if self.state == "T":
                self.pending.append((item, data))
            else:
                db.append(ident, item, data)
        else:
            rows = [f"DATAROW {db.value(rest.split(' ')[0])}"]
        note(db.name, f"ran {ident} [{whole}] as {db.role} of {db.group.name}, log applied to {db.position()}")
        if db.lose_answer and db.lose_answer(ident, whole):
            note(db.name, f"the answer to {ident} is lost")
            return None
        return self.send(*rows, f"COMPLETE sig.{db.name}.{ident}", self.ready())


# ---------------------------------------------------------------------------
# HTTP
# ---------------------------------------------------------------------------

async def http(ip, port, method, path, body=None, timeout=1.0, raw=None):
    """Returns (status, body); status 0 if there was no response in time."""
    data = raw if raw is not None else (b"" if body is None else json.dumps(body).encode())
    head = (f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n").encode()

    async def call():
        reader, writer = await asyncio.open_connection(ip, port, limit=4 << 20)
        try:
            writer.write(head + data)
            answer = await reader.read(-1)
        finally:
            writer.close()
        top, _, content = answer.partition(b"\r\n\r\n")
        return int(top.split(b" ")[1]), content.decode()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, ""


# ---------------------------------------------------------------------------
# clients
# ---------------------------------------------------------------------------

class Client:
    """One session; a request at a time, as a sound client."""

    def __init__(self, site, node, name):
        self.site, self.node, self.name = site, node, name
        self.count = 0

    async def open(self, database, user="u1"):
        self.reader, self.writer = await asyncio.open_connection(
            self.node.ip, self.node.ports["frontend"], limit=4 << 20)
        self.writer.write(f"STARTUP {database} {user}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readline(), 2)).decode().strip()
        self.site.record.note(self.name, f"STARTUP {database} at {self.node.name} -> {line}")
        return line.startswith("READY")

    async def ask(self, text, timeout=10.0, quiet=False):
        """Returns (rows, signature, error, state); state None if the connection ended."""
        self.count += 1
        ident = f"{self.name}x{self.count}"
        if not quiet:
            self.site.record.note(self.name, f"QUERY {ident} {text}")
        self.writer.write(f"QUERY {ident} {text}\r\n".encode("latin-1"))
        rows, done, error, state = [], None, None, None
        try:
            while state is None:
                line = await asyncio.wait_for(self.reader.readline(), timeout)
                if not line:
                    break
                word, _, rest = line.decode("latin-1").rstrip("\r\n").partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    done = rest
                elif word == "ERROR":
                    error = rest
                elif word == "READY":
                    state = rest.split(" ")[0]
        except (asyncio.TimeoutError, ConnectionError):
            state = None
        if not quiet:
            self.site.record.note(self.name, f"-> {ident} rows={rows} done={done} error={error} state={state}")
        return rows, done, error, state

    def close(self):
        self.writer.close()


# ---------------------------------------------------------------------------
# daemons
# ---------------------------------------------------------------------------

class Node:
    def __init__(self, site, name, zone, core):
        self.site, self.name, self.zone, self.core = site, name, zone, core
        self.ip = site.next_ip()
        self.ports = {k: site.port(k) for k in ("frontend", "ready", "control_plane")}
        self.folder = os.path.join(site.folder, name)
        os.makedirs(self.folder)
        self.process = None
        self.starts = 0

    def settings(self, bootstrap):
        site = self.site
        fields = {
            "node_name": self.name, "zone": self.zone, "region": "r1", "ip_address": self.ip,
            "listen_addrs": {"control_plane": f"{self.ip}:{self.ports['control_plane']}"} if self.core else
            {"frontend": f"{self.ip}:{self.ports['frontend']}", "ready": f"{self.ip}:{self.ports['ready']}"},
            "internal_port_range": [site.port("peer"), site.port("peer") + 15],
            "seed_nodes": [f"{n.ip}:{n.ports['control_plane']}" for n in site.nodes if n.core][:3],
            "is_bootstrap": bootstrap, "fault_tolerance": {"node_failures": 1, "zones": 1},
            "data_directory": os.path.join(self.folder, "data") if self.core else None,
            "bounds": {"drain_timeout_ms": 7000, "grace_period_s": 6, "config_apply_ms": 3000},
            "cloud_api": {"address": f"{site.cloud_ip}:{site.port('cloud')}"},
        }
        with open(os.path.join(REPO, "deploy", "settings.toml.template")) as f:
            text = render(f.read(), [fields])
        return text.replace(":9464\"", f":{site.port('metrics')}\"")

    async def start(self, bootstrap=False):
        if self.site.stopping:
            return
        path = os.path.join(self.folder, "settings.toml")
        with open(path, "w") as f:
            f.write(self.settings(bootstrap))
        self.starts += 1
        out = open(os.path.join(self.folder, f"log.{self.starts}"), "w")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C",
                       "LARCHPIN_NODE_FILE": path}
        self.process = await asyncio.create_subprocess_exec(PROGRAM, cwd=REPO, env=environment, stdout=out,
                                                            stderr=out)
        self.site.record.note(self.name, f"started as process {self.process.pid}")

    def signal(self, number):
        self.site.record.note(self.name, f"signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self, timeout=1.0):
        if self.core:
            return True
        status, _ = await http(self.ip, self.ports["ready"], "GET", "/larchpin/readiness", timeout=timeout)
        return status == 200

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as f:
            for line in f:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Site:
    def __init__(self, record_path, seed=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/larchpin-platformd is not built")
        self.record = Record(record_path)
        self.random = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="larchpin-review-")
        self.block = random.randrange(16, 250), random.randrange(1, 250)
        self.last = 1
        self.base = random.randrange(20000, 28000)
        self.nodes, self.groups = [], []
        self.cloud_ip = self.next_ip()
        self.version = 0
        self.promotions = []
        self.stopping = False

    def next_ip(self):
        self.last += 1
        return f"127.{self.block[0]}.{self.block[1]}.{self.last}"

    def port(self, what):
        order = ["frontend", "ready", "control_plane", "db", "cloud", "metrics", "peer"]
        return self.base + order.index(what)

    def add_group(self, name, zones=("z1", "z2", "z3"), kind=None):
        group = Group(self, name)
        for i, zone in enumerate(zones):
            group.databases.append(
                (kind or Database)(self, group, f"i-{name}{i + 1}", zone, "primary" if i == 0 else "replica"))
        self.groups.append(group)
        return group

    async def start(self, fronts=("z1", "z2", "z3"), cores=("z1", "z2", "z3")):
        for i, zone in enumerate(cores):
            self.nodes.append(Node(self, f"core-{i + 1}", zone, True))
        for i, zone in enumerate(fronts):
            self.nodes.append(Node(self, f"front-{i + 1}", zone, False))
        self.cloud = await asyncio.start_server(self.serve_cloud, self.cloud_ip, self.port("cloud"))
        for group in self.groups:
            for database in group.databases:
                await database.start()
        for node in self.nodes:
            await node.start(bootstrap=True)

    def fronts(self):
        return [n for n in self.nodes if not n.core]

    async def configure(self, routes, services=None, patience=20.0, limits=None):
        """Sends a complete configuration until a daemon acknowledges it."""
        self.version += 1 + self.random.randrange(3)
        body = {"version": self.version, "routes": routes,
                "services": services or [self.service(g.name) for g in self.groups],
                "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 262144,
                                     "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                                     "txn_idle_ms": 3000}}
        until = time.monotonic() + patience
        while time.monotonic() < until:
            for node in self.random.sample([n for n in self.nodes if n.core], len([n for n in self.nodes if n.core])):
                status, _ = await http(node.ip, node.ports["control_plane"], "POST",
                                       "/larchpin/config/replace", body)
                if status == 200:
                    self.record.note("operator", f"version {self.version} acknowledged by {node.name}: " +
                                     ", ".join(f"{r['name']} {r['host']}->{r['service']}" for r in routes))
                    return self.version
            await asyncio.sleep(0.1)
        raise CannotRun("no acknowledgement of a configuration")

    @staticmethod
    def service(name, connections=23, sync_replica_count=0):
        return {"name": name, "health_path": "/health", "max_connections": connections, "protocol": "h1",
                "tls_enabled": False, "sync_replica_count": sync_replica_count}

    @staticmethod
    def route(name, host, service, kind="read_your_writes", timeout=800, target=250, staleness=2500,
              prefix="/"):
        r = {"name": name, "host": host, "path_prefix": prefix, "read_consistency": kind,
             "timeout_ms": timeout, "target_latency_ms": target, "priority": 2, "service": service,
             "max_attempts": 2}
        if kind != "primary":
            r["max_staleness_ms"] = staleness
        return r

    async def until_ready(self, patience=20.0):
        until = time.monotonic() + patience
        while time.monotonic() < until:
            if all([await n.is_ready() for n in self.nodes]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the deployment does not become ready")

    async def until_served(self, node, host, patience=20.0):
        """Waits until a write by way of this daemon succeeds: its database's group is known."""
        until = time.monotonic() + patience
        while time.monotonic() < until:
            client = Client(self, node, f"warm{random.randrange(10**6)}")
            try:
                if await client.open(host):
                    _, done, error, _ = await client.ask("STORE warm 1")
                    if done and not error:
                        return
            except (OSError, asyncio.TimeoutError):
                pass
            finally:
                if hasattr(client, "writer"):
                    client.close()
            await asyncio.sleep(0.2)
        raise CannotRun(f"{host} is not served at {node.name}")

    async def serve_cloud(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(re.search(r"content-length: *(\d+)", head, re.I).group(1))
            body = json.loads(await reader.readexactly(length))
            token = int(re.search(r"fencing-token: *(\d+)", head, re.I).group(1))
            holder = re.search(r"lease-holder: *(\S+)", head, re.I).group(1)
            status = await self.promote(body["service"], body["instance_id"], token, holder)
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, AttributeError):
            pass
        finally:
            writer.close()

    async def promote(self, service, instance, token, holder):
        group = next(g for g in self.groups if g.name == service)
        if token < group.seen_token:
            status = 409
        else:
            group.seen_token = token
            chosen = next((d for d in group.databases if d.name == instance), None)
            status = 409 if chosen is None or not getattr(chosen, "up", chosen.beating) else 200
            if status == 200 and chosen.role != "primary":
                asyncio.create_task(self.lead(group, chosen))
        self.promotions.append((self.record.now(), holder, token, service, instance, status))
        self.record.note("platform", f"POST /promote {service} {instance} token {token} by {holder}: {status}")
        return status

    async def lead(self, group, chosen):
        await asyncio.sleep(0.3)
        group.term += 1
        for d in group.databases:
            d.role = "primary" if d is chosen else "replica"
        chosen.applied = len(chosen.log)
        for d in group.databases:
            if d is not chosen and len(d.log) > len(chosen.log):
                d.log = list(chosen.log)
                d.applied = min(d.applied, len(d.log))
        self.record.note("platform", f"{chosen.name} leads {group.name}, term {group.term}")

    async def stop(self, keep_logs=False):
        self.stopping = True
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                    await node.process.wait()
                except ProcessLookupError:
                    pass
        if keep_logs:
            self.record.note("case", f"logs of the daemons stay in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, folder):
    """`case(site)` returns a list of broken rules; the process exits with 1, 0 or 2, and leaves no process behind."""
    async def judge(site):
        try:
            broken = await asyncio.wait_for(case(site), 110)
        except (CannotRun, asyncio.TimeoutError, OSError) as e:
            site.record.note("case", f"could not run: {e!r}")
            print(f"could not run: {e!r}")
            return 2
        for line in broken or ["held"]:
            text = "BROKEN: " + line if broken else line
            site.record.note("case", text)
            print(text)
        return 1 if broken else 0

    async def whole():
        site = Site(os.path.join(folder, "record.txt"))
        judging = asyncio.create_task(judge(site))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, judging.cancel)
        code = 2
        try:
            code = await judging
        except asyncio.CancelledError:
            site.record.note("case", "ended from outside")
        except Exception as e:  # a fault of the case itself: the daemons end all the same
            site.record.note("case", f"could not run: {e!r}")
            print(f"could not run: {e!r}")
        await site.stop(os.environ.get("KEEP") == "1")
        sys.stdout.flush()
        # Not by way of the loop: wait_for() may swallow the cancellation of a task that sends heartbeats for good.
        os._exit(code)

    try:
        asyncio.run(whole())
    except CannotRun as e:
        print(f"could not run: {e!r}")
        raise SystemExit(2) from e
