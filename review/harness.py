"""Starts a small deployment on loopback for the review's scripts: entries and agents as separate processes, with the commands of the
deploy file and settings rendered from its templates, and stand-ins for the platform's store, its executors and its clients.

The stand-ins follow the platform's pages. Everything that clients and executors see goes to the record file of the case.
"""

import asyncio
import base64
import http.client
import http.server
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SERVICE = "mapdesk"
HOST = "maps.example"
PREFIX = "/print/"
# Bounds of a small deployment, as in the example settings of the platform's pages.
BOUNDS = {"contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "downgrade_ms": 250, "max_skew_ms": 5000, "recovery_s": 12, "max_hold_ms": 1000, "stop_grace_ms": 50, "cancel_ms": 3000,
          "retransmit_ms": 1300}
HEARTBEAT_S = 1.5
MAX_RUN_S = 110
RESTART_DELAY_S = 0.2  # pause before the platform starts a process again that has ended


class CannotRun(Exception):
    """The deployment did not reach the state in which the case begins."""


class Record:
    """Thread-safe log of what clients, executors and the platform see, with seconds since the start."""

    def __init__(self, directory):
        self.file = open(os.path.join(directory, "record.txt"), "w", encoding="utf-8")
        self.lock, self.origin = threading.Lock(), time.monotonic()

    def now(self):
        return time.monotonic() - self.origin

    def write(self, text):
        with self.lock:
            self.file.write("%9.3f %s\n" % (self.now(), text))
            self.file.flush()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def handle_any(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        url = urllib.parse.urlsplit(self.path)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
        answer = self.server.owner.handle(self.command, url.path, query, self.headers, json.loads(body) if body else {})
        if answer is None:
            self.close_connection = True
            return
        data = json.dumps(answer[1]).encode()
        self.send_response(answer[0])
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = handle_any


class HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, owner, address):
        super().__init__(address, Handler)
        self.owner, self.open_sockets = owner, set()
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True).start()

    def process_request(self, request, client_address):
        self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Broken connections are expected."""

    def abort(self):
        """Stops to listen and ends all connections, as when the process dies."""
        self.shutdown()
        self.server_close()
        for request in list(self.open_sockets):
            try:
                request.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's key-value store: items with revisions, transactions, watches and leases."""

    def __init__(self, address):
        self.items, self.events, self.leases, self.revision = {}, [], {}, 100
        self.changed = threading.Condition()
        self.http = HttpServer(self, address)
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                for lease in [n for n, (_, until) in self.leases.items() if time.monotonic() > until]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)
        return True

    def apply(self, sets, removes):
        self.revision += 1
        for item in sets:
            created = self.items.get(item["key"], {"created": self.revision})["created"]
            self.items[item["key"]] = {"key": item["key"], "value": item["value"], "revision": self.revision, "created": created,
                                       "lease": item.get("lease", 0)}
            self.events.append(self.items[item["key"]])
        for key in removes:
            if self.items.pop(key, None):
                self.events.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.notify_all()

    def put(self, key, value):
        with self.changed:
            self.apply([{"key": key, "value": base64.b64encode(value.encode()).decode()}], [])

    def handle(self, method, path, query, _headers, body):
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, dict(item, store_revision=self.revision)) if item else (404, {"store_revision": self.revision})
            if path == "/kv-range":
                items = [item for key, item in sorted(self.items.items())
                         if key.startswith(query["prefix"]) and key > query.get("after", "")]
                return 200, {"items": items[:500], "has_more": len(items) > 500, "store_revision": self.revision}
            if path == "/kv-watch":
                def found():
                    return [event for event in self.events
                            if event["key"].startswith(query["prefix"]) and event["revision"] > int(query["after"])]

                self.changed.wait_for(found, min(int(query["wait_ms"]), 30000) / 1000.0)
                return 200, {"events": found(), "store_revision": self.revision}
            if path == "/kv-txn":
                rows = body.get("expected_rev", [])
                if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in rows):
                    return 412, {"items": [self.items[row["key"]] for row in rows if row["key"] in self.items]}
                if any(item.get("lease", 0) and item["lease"] not in self.leases for item in body.get("set_keys", [])):
                    return 404, {}
                self.apply(body.get("set_keys", []), body.get("remove", []))
                return 200, {"revision": self.revision}
            if path == "/kv-lease":
                lease = max(self.leases, default=0) + 1 + self.revision
                self.leases[lease] = (body["ttl_ms"], time.monotonic() + body["ttl_ms"] / 1000.0)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            lease = int(path.rsplit("/", 1)[1]) if path.startswith("/kv-") else 0
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
                return 200, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000.0)
            return 200, {"ttl_ms": ttl}


class Executor:
    """An executor without admission check. Its tasks sleep for the `run_ms` of their spec.

    It checks fencing tokens, run numbers, start deadlines and the intended boot, and ends everything when its lease expires.
    """

    def __init__(self, record, name, address, agent, labels=("a", "r1-1"), cpu=32000):
        self.record, self.name, self.address, self.agent = record, name, address, agent
        self.id, self.up = "i-" + name, False
        self.labels, self.cpu, self.service = list(labels), cpu, SERVICE
        self.lock = threading.Condition()
        self.starts = []  # (seconds, task, run, spec, labels of the boot)
        self.boots = 0
        threading.Thread(target=self.enforce_lease, daemon=True).start()

    def boot(self, first_report_s=0.0):
        """Starts a new life under the same id, which reports itself after `first_report_s` and then every heartbeat."""
        with self.lock:
            self.boots += 1
            self.running, self.highest, self.finished = {}, {}, []
            self.token = self.end_count = self.sequence = self.lease_end = 0
            self.born, self.origin, self.up = int(time.time() * 1000), time.monotonic(), True
            self.http = HttpServer(self, self.address)
            number = self.boots
        self.record.write("executor %s boots labels=%s cpu=%d born=%d" % (self.name, ",".join(self.labels), self.cpu, self.born))
        threading.Thread(target=self.report, args=(number, first_report_s), daemon=True).start()

    def crash(self):
        with self.lock:
            self.up = False
            self.running = {}
            self.record.write("executor %s crashes" % self.name)
            self.lock.notify_all()
        self.http.abort()

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000) + 1000

    def report_once(self):
        """Sends one liveness report; returns whether it was acknowledged."""
        with self.lock:
            self.sequence += 1
            body = {"service": self.service, "address": "%s:%d" % self.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready",
                    "cold_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": self.labels,
                    "clock_ms": self.clock_ms(), "seq": self.sequence, "born": self.born}
        status, _ = request(self.agent, "PUT", "/instances/" + self.id, json.dumps(body), {"Content-Type": "application/json"}, 1.0)
        return 200 <= status < 300

    def report(self, number, delay_s):
        time.sleep(delay_s)
        while self.up and self.boots == number:
            time.sleep(HEARTBEAT_S if self.report_once() else 0.1)

    def enforce_lease(self):
        while True:
            time.sleep(0.005)
            with self.lock:
                if self.up and self.running and self.clock_ms() > self.lease_end:
                    for task, (run, _) in list(self.running.items()):
                        self.finish(task, run, "lapsed")

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock_ms() + BOUNDS["max_hold_ms"]))

    def finish(self, task, run, how, boot=None):
        with self.lock:
            if not self.up or (boot is not None and boot != self.boots) or self.running.get(task, (None,))[0] != run:
                return
            del self.running[task]
            self.end_count += 1
            self.finished.append([self.end_count, task, run, how, ""])
            self.record.write("executor %s ends %s run %d: %s" % (self.name, task, run, how))
            self.lock.notify_all()

    def handle(self, method, path, _query, headers, body):
        with self.lock:
            if not self.up:
                return None
            boot = self.boots
            if method == "GET":
                return 200, {}
            if headers.get("Expect-Instance", self.id) != self.id:
                return 421, {"clock_ms": self.clock_ms(), "born": self.born}
            token = body.get("fencing_token", 0)
            if token < self.token:
                return 409, {"clock_ms": self.clock_ms(), "born": self.born, "reason": "fence"}
            self.token = token
            if path == "/run-start":
                status, reason = self.start(body)
                answer = {"clock_ms": self.clock_ms(), "born": self.born}
                return status, dict(answer, reason=reason) if reason else answer
            if path == "/run-stop":
                task, run = body["task"], body["run_id"]
                self.highest[task] = max(self.highest.get(task, 0), run)
                threading.Timer(BOUNDS["stop_grace_ms"] / 2000.0, self.finish, (task, run, "stopped", boot)).start()
                return 200, {"clock_ms": self.clock_ms(), "born": self.born}
            if path != "/hold":
                return 404, {}
            self.finished = [end for end in self.finished if end[0] > body.get("last_seen", 0)]
            self.extend(body.get("deadline_ms", 0))
            if not self.finished and body.get("wait_ms", 0):
                self.lock.wait_for(lambda: self.finished or not self.up or boot != self.boots, min(body["wait_ms"], 2000) / 1000.0)
            if not self.up or boot != self.boots:
                return None
            rows = [[task, run, "", 100, need] for task, (run, need) in self.running.items()]
            return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": rows, "finished": self.finished[:500]}

    def start(self, body):
        task, run = body["task"], body["run_id"]
        if self.running.get(task, (None,))[0] == run:
            return 200, None
        if run <= self.highest.get(task, 0):
            self.extend(body["deadline_ms"])
            return 409, "old"
        if body["deadline_ms"] <= self.clock_ms():
            return 409, "late"
        spec = json.loads(body["spec"])
        self.highest[task] = run
        self.running[task] = (run, spec.get("cpu", 0))
        self.extend(body["deadline_ms"])
        self.starts.append((self.record.now(), task, run, body["spec"], tuple(self.labels)))
        self.record.write("executor %s starts %s run %d labels=%s" % (self.name, task, run, ",".join(self.labels)))
        threading.Timer(spec["run_ms"] / 1000.0, self.finish, (task, run, "done", self.boots)).start()
        return 200, None


class PeerNetwork:
    """Relays in front of the peer address of each process, so that a machine can be cut off from all others of the system.

    While a machine is cut off, the bytes from and to it are held up, and lost if their sender closes the connection. The source of a
    connection is the sender's address at the start of its first message.
    """

    SENDER = re.compile(rb"\x0a[\x05-\x0d]\x0d(....)", re.S)

    def __init__(self):
        self.cut = set()
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, listen, target):
        async def accept(reader, writer):
            await self.relay(reader, writer, listen[0], target)

        asyncio.run_coroutine_threadsafe(asyncio.start_server(accept, *listen), self.loop).result(5)

    async def relay(self, reader, writer, host, target):
        ends = {"target": host, "source": None, "seen": b""}
        try:
            back_reader, back_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.forward(reader, back_writer, ends, True), self.forward(back_reader, writer, ends, False))

    async def forward(self, reader, writer, ends, from_source):
        try:
            while data := await reader.read(65536):
                if from_source and ends["source"] is None:
                    ends["seen"] += data
                    match = self.SENDER.search(ends["seen"])
                    if match:
                        ends["source"] = socket.inet_ntoa(match[1][::-1])
                while ends["source"] in self.cut or ends["target"] in self.cut:
                    if reader.at_eof():
                        break
                    await asyncio.sleep(0.005)
                else:
                    writer.write(data)
                    await writer.drain()
                    continue
                break
            writer.close()
        except OSError:
            writer.transport.abort()


def free_ports(count, addresses):
    """Ports that are free on all of the loopback addresses."""
    ports = []
    while len(ports) < count:
        with socket.create_server((addresses[0], 0)) as probe:
            port = probe.getsockname()[1]
        try:
            for address in addresses:
                socket.create_server((address, port)).close()
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


def render(template, fields):
    """Renders the placeholders and list sections that the project's templates use."""
    def value(name, scope):
        current = scope
        for part in name.split("."):
            current = current[int(part)] if isinstance(current, list) else current[part]
        return str(current)

    def section(match):
        entries = fields[match[1]]
        return "".join(match[2].replace("{{.}}", str(entry)).replace("{{,}}", "," if n + 1 < len(entries) else "")
                       for n, entry in enumerate(entries))

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match[1], fields), text)


class Deployment:
    """Entries and agents as child processes, with their stand-ins."""

    def __init__(self, record, entries=3, agents=3, make_executor=Executor, relayed_peers=False):
        self.record, self.children = record, {}
        self.directory = tempfile.mkdtemp(prefix="cuminscale-review-")
        net = 64 + os.getpid() % 128
        self.entries = ["127.%d.1.%d" % (net, n + 1) for n in range(entries)]
        self.agents = ["127.%d.2.%d" % (net, n + 1) for n in range(agents)]
        self.platform = "127.%d.3.1" % net
        self.network = PeerNetwork() if relayed_peers else None
        hosts = self.entries + self.agents
        hosts += [self.peer_host(ip) for ip in hosts] + [self.platform]
        (self.peer_port, self.metrics_port, self.client_port, self.ready_port, self.control_port, self.app_port,
         store_port) = free_ports(7, sorted(set(hosts)))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.store = Store((self.platform, store_port))
        self.routes = [{"name": "r-print", "host": HOST, "prefix": PREFIX, "type": "non_idempotent", "timeout_ms": 1500,
                        "target_latency_ms": 60, "priority": 0, "service": SERVICE, "max_attempts": 4, "slack_factor": 1.6}]
        self.configure(1)
        if self.network:
            for ip in self.entries + self.agents:
                self.network.add((self.peer_host(ip), self.peer_port), (ip, self.peer_port))
        self.executors = [make_executor(record, "w%d" % (n + 1), (ip, self.app_port), (ip, self.control_port))
                          for n, ip in enumerate(self.agents)]

    def configure(self, version):
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        services = [{"name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                     "admission_check": False, "standby": False}]
        self.store.put("op/config", json.dumps({"version": version, "routes": self.routes, "services": services, "limits": limits}))

    def peer_host(self, ip):
        """Host at which other processes reach the process at `ip`."""
        return ".".join([*ip.split(".")[:2], str(int(ip.split(".")[2]) + 8), ip.split(".")[3]]) if self.network else ip

    def cut_off(self, ip, cut):
        self.record.write("%s is %s all other machines of the system" % (ip, "cut off from" if cut else "connected again with"))
        (self.network.cut.add if cut else self.network.cut.discard)(self.peer_host(ip))

    def start_all(self):
        for executor in self.executors:
            executor.boot()
        for ip in self.entries + self.agents:
            self.start(ip)

    def fields(self, ip):
        entry = ip in self.entries
        listen = {"control_plane": "%s:%d" % (ip, self.control_port)}
        if entry:
            listen.update(frontend="%s:%d" % (ip, self.client_port), ready="%s:%d" % (ip, self.ready_port))
        return {"node_name": "node-" + ip.replace(".", "-"), "ip": ip, "zone": "zone-" + ip.rsplit(".", 1)[1], "listen": listen,
                "internal_ports": [self.peer_port, self.metrics_port], "bounds": BOUNDS, "service": SERVICE,
                "seeds": ["%s:%d" % (self.peer_host(seed), self.control_port) for seed in self.entries[:3]],
                "app": "%s:%d" % (ip, self.app_port), "platform": {"address": self.store_address()}}

    def store_address(self):
        return "%s:%d" % self.store.http.server_address

    def start(self, ip):
        role = self.roles["entry" if ip in self.entries else "agent"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.fields(ip))
        if self.network:
            settings = json.loads(text)
            settings["peer"]["advertise"] = "%s:%d" % (self.peer_host(ip), self.peer_port)
            text = json.dumps(settings)
        path = os.path.join(self.directory, ip + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = [path if word == "/etc/cuminscale/boot.json" else word for word in role["run"].split()]
        with open(os.path.join(self.directory, ip + ".log"), "ab") as log:
            self.children[ip] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, ip, number):
        self.record.write("%s to %s" % (signal.Signals(number).name, ip))
        self.children[ip].send_signal(number)

    def restart_after_end(self, ip, seconds=10.0):
        """Waits for the end of a process and starts it again, as the platform does."""
        try:
            self.children[ip].wait(seconds)
        except subprocess.TimeoutExpired:
            self.children[ip].kill()
            self.children[ip].wait()
        self.record.write("%s has ended with code %d" % (ip, self.children[ip].returncode))
        time.sleep(RESTART_DELAY_S)
        self.start(ip)
        self.record.write("%s started again" % ip)

    def ready(self, ip):
        return request((ip, self.ready_port), "GET", "/ready", timeout=1.0)[0] == 200

    def usable_agents(self, ip):
        status, text = request((ip, self.metrics_port), "GET", "/metrics", timeout=1.0)
        match = re.search(r"cuminscale_agents_usable (\d+)", text) if status == 200 else None
        return int(match[1]) if match else 0

    def wait_ready(self, ips=None, seconds=20.0):
        deadline = time.monotonic() + seconds
        for ip in ips or self.entries:
            while not (self.ready(ip) and self.usable_agents(ip) == len(self.agents)):
                if time.monotonic() > deadline:
                    raise CannotRun("entry %s did not become ready" % ip)
                time.sleep(0.05)

    def client(self, ip):
        return ip, self.client_port

    def submit(self, ip, job, steps, run_ms, deadline_ms=1500, timeout=None, spec=None):
        """Posts a best-effort job; returns the status (0 without an answer) and the body."""
        body = {"spec": json.dumps(dict({"run_ms": run_ms}, **(spec or {}))), "best_effort": True, "steps": steps}
        self.record.write("client POST %s to %s" % (job, ip))
        headers = {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": str(deadline_ms)}
        status, text = request(self.client(ip), "POST", PREFIX + job, json.dumps(body), headers, timeout or deadline_ms / 1000.0)
        self.record.write("client POST %s at %s answered %s %s" % (job, ip, status or "nothing", text))
        return status, text

    def open_channel(self, ip):
        """Opens a client's channel to an entry and makes a first call on it."""
        channel = http.client.HTTPConnection(*self.client(ip), timeout=1.5)
        channel.request("GET", PREFIX, headers={"Host": HOST})
        channel.getresponse().read()
        return channel

    def cancel(self, ip, job, deadline_ms=1500, channel=None):
        """Cancels a job, on a new channel or an open one; returns the status (0 without an answer) and the body."""
        self.record.write("client DELETE %s to %s" % (job, ip))
        headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms)}
        status, text = request(self.client(ip), "DELETE", PREFIX + job, None, headers, deadline_ms / 1000.0, channel)
        self.record.write("client DELETE %s at %s answered %s %s" % (job, ip, status or "nothing", text))
        return status, text

    def close(self):
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def request(address, method, path, body=None, headers=None, timeout=1.5, channel=None):
    try:
        connection = channel or http.client.HTTPConnection(*address, timeout=timeout)
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        text = response.read().decode()
        if not channel:
            connection.close()
        return response.status, text
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)


def main(case, **options):
    """Runs `case(deployment, record, trouble)`, which returns the broken-rule message or None, and exits as the issue asks."""
    directory = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(directory)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble=%d" % trouble)
    code, deployment = 2, None

    def give_up(*_):
        record.write("cannot run: interrupted, or not done within %d s" % MAX_RUN_S)
        if deployment:
            deployment.close()
        os._exit(2)

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    watchdog = threading.Timer(MAX_RUN_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        deployment = Deployment(record, **options)
        deployment.start_all()
        deployment.wait_ready()
        record.write("all entries are ready")
        broken = case(deployment, record, trouble)
        record.write("BROKEN: " + broken if broken else "HELD")
        print("BROKEN: " + broken if broken else "held")
        code = 1 if broken else 0
    except Exception as error:  # whatever goes wrong here is no broken rule
        record.write("cannot run: %r" % error)
        print("cannot run: %r" % error)
    finally:
        if deployment:
            deployment.close()
    sys.stdout.flush()
    os._exit(code)
