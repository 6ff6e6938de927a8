"""Stand-ins for the platform, its executors and clients, and a runner for the programs of the deploy file.

Everything runs in one asyncio loop on loopback addresses. The stand-ins follow the platform's protocol and check nothing; each
case reads what was sent and run from the event list of the world.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ["zone-a", "zone-b", "zone-c"]
HEARTBEAT_S = 1.5
BOUNDS = {"contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "downgrade_ms": 250,
          "max_hold_ms": 1000, "stop_grace_ms": 50, "cancel_ms": 3000, "visible_ms": 3000, "remote_factor": 1.5,
          "retransmit_ms": 1300}
ANSWERED, NO_RESPONSE, BROKEN = "answered", "no-response", "broken"


# ---- HTTP ----------------------------------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads one HTTP message; returns its start line, headers (lower-case names) and body, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpService:
    """HTTP server whose owner answers each request with `await owner.handle(method, path, query, headers, body)`.

    The owner returns (status, object), or None to leave the request without an answer and to close its connection."""

    def __init__(self, owner, ip, port):
        self.owner, self.ip, self.port, self.server, self.writers = owner, ip, port, None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 21)
        if self.port == 0:
            self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ")
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                try:
                    body = json.loads(message[2]) if message[2] else {}
                except ValueError:
                    body = None
                answer = await self.owner.handle(method, url.path, query, message[1], body)
                if answer is None:
                    return
                data = json.dumps(answer[1]).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (answer[0], len(data)) + data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, target, body=None, headers=None, timeout=5.0, source=None):
    """One request on a connection of its own. Returns (how it ended, status, body of the response)."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port), local_addr=(source, 0) if source else None)
            data = json.dumps(body).encode() if body is not None else b""
            lines = ["%s %s HTTP/1.1" % (method, target), "Content-Length: %d" % len(data)]
            lines += ["%s: %s" % item for item in {"Host": address, "Content-Type": "application/json", **(headers or {})}.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return BROKEN, 0, {}
            try:
                answer = json.loads(message[2]) if message[2] else {}
            except ValueError:
                answer = {}
            return ANSWERED, int(message[0].split(" ")[1]), answer
    except TimeoutError:
        return NO_RESPONSE, 0, {}
    except OSError:
        return BROKEN, 0, {}
    finally:
        if writer:
            writer.close()


# ---- The platform's store ------------------------------------------------------------------------------------------------

class Store:
    """The platform's key-value store, with leases that expire and watches."""

    def __init__(self, world):
        self.world, self.items, self.log, self.revision, self.leases, self.last_lease = world, {}, [], 100, {}, 70
        self.changed = asyncio.Condition()
        self.http = HttpService(self, "127.0.9.1", 0)

    def apply(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            if self.items.pop(key, None) is not None:
                self.log.append({"key": key, "revision": self.revision, "deleted": True})
            return
        created = self.items.get(key, {"created": self.revision})["created"]
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.log.append(dict(self.items[key]))

    async def put(self, key, text):
        """A write of the operator; the return is its acknowledgement."""
        async with self.changed:
            self.apply(key, base64.b64encode(text.encode()).decode())
            self.changed.notify_all()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            ended = [lease for lease, (until, _) in self.leases.items() if time.monotonic() > until]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        async with self.changed:
            self.leases.pop(lease, None)
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.apply(key, None)
            self.changed.notify_all()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, store_revision=self.revision)) if item else (404, {"store_revision": self.revision})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "has_more": len(keys) > 500, "store_revision": self.revision}
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000.0)
        if path == "/kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = (time.monotonic() + body["ttl_ms"] / 1000.0, body["ttl_ms"])
            return 200, {"lease": self.last_lease, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/kv-keep/") or path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/kv-lease-end/"):
                await self.end_lease(lease)
                return 200, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000.0, ttl)
            return 200, {"ttl_ms": ttl}
        if path == "/kv-txn":
            return await self.transact(body)
        return 404, {}

    async def watch(self, prefix, after, wait_s):
        def events():
            return [event for event in self.log if event["revision"] > after and event["key"].startswith(prefix)]

        async with self.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait_for(events)
            except TimeoutError:
                pass
            return 200, {"events": events(), "store_revision": self.revision}

    async def transact(self, body):
        async with self.changed:
            expected = body.get("expected_rev", [])
            if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in expected):
                return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
            changes = body.get("set_keys", [])
            if any(item.get("lease", 0) not in self.leases for item in changes if item.get("lease", 0)):
                return 404, {}
            if any(key.startswith(("op/", "servers/")) for key in [item["key"] for item in changes] + body.get("remove", [])):
                return 403, {}
            for item in changes:
                self.apply(item["key"], item["value"], item.get("lease", 0))
            for key in body.get("remove", []):
                self.apply(key, None)
            self.changed.notify_all()
            return 200, {"revision": self.revision}


# ---- Executors -----------------------------------------------------------------------------------------------------------

class Executor:
    """An executor that guards nothing (admission_check false). A task sleeps for the `run_ms` of its spec and ends as done."""

    def __init__(self, world, number, capacity, labels):
        self.world, self.number, self.capacity, self.labels = world, number, dict(capacity), list(labels)
        self.ip = "127.0.2.%d" % number
        self.agent = "%s:%d" % (self.ip, world.ports["control_plane"])
        self.http = HttpService(self, self.ip, world.ports["app"])
        self.changed = asyncio.Condition()
        self.boot(new_id=True)

    def boot(self, new_id):
        """Starts a life of the executor, which knows nothing of a former one."""
        if new_id:
            self.id = "i-%06x%02x" % (int(time.time() * 10) & 0xFFFFFF, self.number)
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.sequence = self.ends = self.token = self.lease = 0
        self.state, self.running, self.highest, self.finished = "ready", {}, {}, []
        self.reporting = True

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000) + 1000

    def in_use(self, key):
        return sum(task_need(self.world, task)[key] for task in self.running)

    def report(self):
        """The report that the executor would send now; takes the next sequence number."""
        self.sequence += 1
        return {"service": self.world.service, "address": "%s:%d" % (self.ip, self.http.port), "zone": ZONES[self.number % 3],
                "version": "v1", "slots": 8, "state": self.state, "cold_ms": 0, "capacity": self.capacity, "labels": self.labels,
                "clock_ms": self.clock_ms(), "seq": self.sequence, "born": self.born}

    async def send_report(self):
        body = self.report()
        how, status, _ = await call(self.agent, "PUT", "/instances/" + self.id, body, timeout=1.0, source=self.ip)
        self.world.record("report", executor=self.id, state=body["state"], seq=body["seq"], status=status)
        return how == ANSWERED and 200 <= status < 300

    async def send_reports(self):
        await asyncio.sleep(0.1 * self.number)
        while True:
            if self.reporting:
                acknowledged = await self.send_report()
                await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.2)
            else:
                await asyncio.sleep(0.05)

    async def leave(self):
        """Reports draining until it is acknowledged; returns the time of the acknowledgement. Reports go on meanwhile."""
        self.state = "draining"
        while not await self.send_report():
            await asyncio.sleep(0.2)
        self.world.record("draining-acknowledged", executor=self.id)
        return time.monotonic()

    async def enforce_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock_ms() > self.lease:
                for task, run in list(self.running.items()):
                    await self.end(task, run, "lapsed")

    async def end(self, task, run, how):
        async with self.changed:
            if self.running.get(task) != run:
                return
            del self.running[task]
            self.ends += 1
            self.finished.append([self.ends, task, run, how, ""])
            self.world.record("end", executor=self.id, task=task, run=run, how=how)
            self.changed.notify_all()

    async def end_later(self, task, run, how, delay_s, born):
        await asyncio.sleep(delay_s)
        if self.born == born:
            await self.end(task, run, how)

    def extend(self, deadline_ms):
        self.lease = max(self.lease, min(deadline_ms, self.clock_ms() + BOUNDS["max_hold_ms"]))

    def answer(self, **fields):
        return {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, self.answer()
        if body.get("fencing_token", 0) < self.token:
            return 409, self.answer(reason="fence")
        self.token = body.get("fencing_token", 0)
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            task, run = body["task"], body["run_id"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            self.world.record("stop", executor=self.id, task=task, run=run)
            asyncio.create_task(self.end_later(task, run, "stopped", 0.03, self.born))
            return 200, self.answer()
        if path == "/hold":
            return await self.hold(body)
        return 404, {}

    async def hold(self, body):
        self.finished = [end for end in self.finished if end[0] > body.get("last_seen", 0)]
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        born = self.born
        if not self.finished and body.get("wait_ms", 0) > 0:
            async with self.changed:
                try:
                    async with asyncio.timeout(min(body["wait_ms"], 2000) / 1000.0):
                        await self.changed.wait_for(lambda: self.finished or self.born != born)
                except TimeoutError:
                    pass
        if self.born != born:
            return None
        return 200, self.answer(running=[[t, r, "", 100] for t, r in self.running.items()], finished=self.finished[:500])

    def start(self, body):
        task, run = body["task"], body["run_id"]
        if self.running.get(task) == run:
            return 200, self.answer()
        if run <= self.highest.get(task, 0):
            self.extend(body["deadline_ms"])
            return 409, self.answer(reason="old")
        if body["deadline_ms"] <= self.clock_ms():
            return 409, self.answer(reason="late")
        self.highest[task] = run
        self.extend(body["deadline_ms"])
        if task in self.running:  # A run of the task with a lower number is there: both count.
            self.world.record("second-run-here", executor=self.id, task=task, run=run)
        self.running[task] = run
        self.world.record("start", executor=self.id, task=task, run=run, spec=body["spec"], cpu=self.in_use("cpu"),
                          mem_mb=self.in_use("mem_mb"), capacity=self.capacity["cpu"])
        run_ms = json.loads(body["spec"]).get("run_ms", 50)
        asyncio.create_task(self.end_later(task, run, "done", run_ms / 1000.0, self.born))
        return 200, self.answer()


def task_need(world, task):
    """What the client asked for a task with the name ID.K.STEP.INDEX."""
    job, _, step, _ = task.split(".")
    spec = world.jobs[job]["steps"][int(step)]
    return {"cpu": spec.get("cpu", 0), "mem_mb": spec.get("mem_mb", 0)}


# ---- The world -----------------------------------------------------------------------------------------------------------

def render(template, fields):
    """Fills in a settings template with the placeholders and sections that the deploy file's templates use."""
    def look_up(name, scopes):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                else:
                    value = None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes, last):
        section = re.search(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", text, re.S)
        if section:
            value = look_up(section.group(2), scopes)
            inner = ""
            if section.group(1) == "^":
                inner = "" if value else fill(section.group(3), scopes, last)
            elif isinstance(value, list):
                for i, entry in enumerate(value):
                    inner += fill(section.group(3), [entry] + scopes, i == len(value) - 1)
            elif value is not None and value is not False:
                inner = fill(section.group(3), [value] + scopes, True)
            return fill(text[:section.start()], scopes, last) + inner + fill(text[section.end():], scopes, last)

        def value_of(match):
            name = match.group(1)
            if name == ",":
                return "" if last else ","
            value = look_up(name.split("|")[0], scopes)
            if name.endswith("|json"):
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([^#^/}]+)\}\}", value_of, text)

    return fill(template, [fields], True)


def free_ports(count):
    sockets = [socket.create_server(("0.0.0.0", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class World:
    """A small deployment: entries and agents as processes, and their surroundings as stand-ins."""

    service = "svc41"
    host = "jobs.example"

    def __init__(self, entries=3, executors=3, capacity=None, labels=None):
        self.entry_ips = ["127.0.1.%d" % (i + 1) for i in range(entries)]
        names = ["frontend", "ready", "control_plane", "peer", "metrics", "app"]
        self.ports = dict(zip(names, free_ports(len(names))))
        self.events, self.jobs, self.children, self.tasks, self.origin = [], {}, {}, [], time.monotonic()
        self.directory = tempfile.TemporaryDirectory()
        self.store = Store(self)
        capacity = capacity or {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
        self.executors = [Executor(self, i + 1, capacity, (labels or (lambda n: ["a", "r%d" % n]))(i + 1)) for i in range(executors)]
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.version = 0

    def now(self):
        return time.monotonic() - self.origin

    def record(self, what, **fields):
        self.events.append({"at": round(self.now(), 4), "what": what, **fields})

    async def configure(self, queues):
        """Writes the next configuration; `queues` are dictionaries with the fields of a route that differ from the defaults."""
        self.version += 3
        routes = [{"name": "r-" + q["prefix"].strip("/"), "host": self.host, "type": "non_idempotent", "timeout_ms": 1500,
                   "target_latency_ms": 60, "priority": 0, "service": self.service, "max_attempts": 2, "slack_factor": 1.6, **q}
                  for q in queues]
        services = sorted({r["service"] for r in routes} | {self.service})
        await self.store.put("op/config", json.dumps({
            "version": self.version, "routes": routes,
            "services": [{"name": s, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                          "admission_check": False, "standby": False} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}))
        self.record("config-acknowledged", version=self.version, routes=[r["prefix"] for r in routes])

    def fields(self, ip):
        """The platform's settings of the machine at `ip`."""
        entry = ip in self.entry_ips
        n = int(ip.rsplit(".", 1)[1])
        fields = {
            "node_name": ("edge-%d" if entry else "side-%d") % n, "machine_class": "edge" if entry else "side", "ip": ip,
            "zone": ZONES[n % 3], "region": "region-a", "zones": {z: "region-a" for z in ZONES}, "listen": {},
            "internal_ports": [self.ports["peer"], self.ports["metrics"]],
            "seeds": ["%s:%d" % (e, self.ports["control_plane"]) for e in self.entry_ips[:3]], "bootstrap": True,
            "heartbeat_ms": int(HEARTBEAT_S * 1000), "bounds": BOUNDS, "commands": "rpc",
            "platform": {"address": "127.0.9.1:%d" % self.store.http.port, "form": "kv", "min_ttl_ms": 1000}}
        for name in (("frontend", "ready", "control_plane") if entry else ("control_plane",)):
            fields["listen"][name] = "%s:%d" % (ip, self.ports[name])
        if not entry:
            fields.update(app="%s:%d" % (ip, self.ports["app"]), service=self.service)
        return fields

    def start(self, ip):
        """Starts the process of a machine with the command and the template of its role in the deploy file."""
        role = self.deploy["roles"]["entry" if ip in self.entry_ips else "agent"]
        with open(os.path.join(REPOSITORY, role["template"])) as file:
            text = render(file.read(), self.fields(ip))
        json.loads(text)
        path = os.path.join(self.directory.name, ip + ".json")
        with open(path, "w") as file:
            file.write(text)
        command = role["run"].replace("/etc/cuminscale/boot.json", path).split(" ")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with open(os.path.join(self.directory.name, ip + ".log"), "ab") as log:
            self.children[ip] = subprocess.Popen(command, cwd=REPOSITORY, stdout=log, stderr=log,
                                                 env={**environment, "CUMINSCALE_NODE_FILE": path})
        self.record("process-started", ip=ip, pid=self.children[ip].pid)

    def signal(self, ip, number):
        self.children[ip].send_signal(number)
        self.record("signal", ip=ip, signal=signal.Signals(number).name)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def open(self, queues):
        """Starts everything and waits until each entry is ready; returns whether that was so within 15 s."""
        await self.store.http.open()
        self.spawn(self.store.expire_leases())
        await self.configure(queues)
        for executor in self.executors:
            await executor.http.open()
            self.spawn(executor.enforce_lease())
        for ip in self.entry_ips + [e.ip for e in self.executors]:
            self.start(ip)
        for executor in self.executors:
            self.spawn(executor.send_reports())
        for _ in range(150):
            await asyncio.sleep(0.1)
            answers = [await call("%s:%d" % (ip, self.ports["ready"]), "GET", "/ready", timeout=1) for ip in self.entry_ips]
            if all(status == 200 for _, status, _ in answers):
                await asyncio.sleep(2.5)  # Admission rests on lists after this, and the traffic finds a settled system.
                return True
        return False

    def close(self):
        for task in self.tasks:
            task.cancel()
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
        for executor in self.executors:
            executor.http.close()
        self.store.http.close()

    async def submit(self, entry, prefix, job, steps, run_ms, time_budget_s=1.5, resend=True, spec=None, **fields):
        """A client that hands in a job and sends it again, to the next entry, after a broken channel, 502 or 504.

        Returns the last (how, status, body)."""
        body = {"spec": json.dumps({"run_ms": run_ms}) if spec is None else spec, "best_effort": True, "steps": steps, **fields}
        self.jobs[job] = body
        until = time.monotonic() + time_budget_s
        while True:
            left = until - time.monotonic()
            ip = self.entry_ips[entry % len(self.entry_ips)]
            self.record("sent", job=job, entry=ip)
            result = await call("%s:%d" % (ip, self.ports["frontend"]), "POST", prefix + job, body,
                                {"Host": self.host, "Deadline-Ms": str(int(left * 1000))}, timeout=left, source="127.0.3.1")
            self.record("answered", job=job, entry=ip, how=result[0], status=result[1], body=result[2])
            again = result[0] == BROKEN or result[1] in (502, 504)
            if not (resend and again) or until - time.monotonic() < BOUNDS["retransmit_ms"] / 1000.0 + 0.05:
                return result
            await asyncio.sleep(BOUNDS["retransmit_ms"] / 1000.0)
            entry += 1

    def write_record(self, folder, verdict):
        with open(os.path.join(folder, "record.txt"), "w") as file:
            for event in self.events:
                file.write(json.dumps(event) + "\n")
            file.write(verdict + "\n")


def run_case(folder, case):
    """Runs `await case(trouble)`, which returns (broken, text, world), and exits as the review asks."""
    async def guarded():
        async with asyncio.timeout(110):
            return await case(os.environ.get("TROUBLE", "1") != "0")

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Lets the case end the processes that it has started.
    try:
        broken, text, world = asyncio.run(guarded())
    except Exception as e:  # The case could not run.
        print("could not run: %r" % e)
        sys.exit(2)
    world.write_record(folder, text)
    print(text)
    sys.exit(1 if broken else 0)
