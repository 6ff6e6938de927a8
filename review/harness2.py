"""Stand-ins and process control for the cases of the second review.

Everything runs on loopback and on the real clock. The entries and agents are started with the commands of deploy/system.toml, with
settings of the same keys as deploy/*.json.in. Store, executors, clients and links are stand-ins that behave as PROTOCOL.md says.
"""

import base64
import http.client
import http.server
import json
import os
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
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_HOLD_MS = 1000
RETRANSMIT_S = 1.3
SERVICE = "huvo11a"
HOST = "nony24.example"
PREFIX = "/lohu930/"
QUEUES = {"r-1": ("/lohu930/", 0), "r-2": ("/pufi791/", 2), "r-3": ("/pule252/", 1)}  # prefix and priority


class Record:
    """Writes record.txt. Times count from the start of the script."""

    def __init__(self, folder):
        self.start, self.lock = time.monotonic(), threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text, at=None):
        with self.lock:
            self.file.write("%8.3f  %s\n" % ((time.monotonic() if at is None else at) - self.start, text))
            self.file.flush()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def handle_any(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        url = urllib.parse.urlsplit(self.path)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        status, answer = self.server.owner.handle(self.command, url.path, query, json.loads(body) if body else {}, self.headers)
        if status == 0:
            self.close_connection = True
            return
        data = json.dumps(answer).encode()
        self.wfile.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                         % (status, len(data), data))

    do_GET = do_POST = do_PUT = do_DELETE = handle_any


class Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, owner, address):
        super().__init__(address, Handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        """Broken connections are expected: the cases kill processes."""


class Store:
    """The platform's store: items, watches, and leases that expire."""

    def __init__(self, address=("127.0.0.1", 0)):
        self.items, self.log, self.revision, self.leases, self.lease_count = {}, [], 100, {}, 0
        self.changed = threading.Condition()
        self.listener = Listener(self, address)
        self.address = "%s:%d" % self.listener.server_address
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, text, lease=0):
        self.put_base64(key, base64.b64encode(text.encode()).decode(), lease)

    def put_base64(self, key, value, lease):
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {"created": self.revision})["created"]
            self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
            self.log.append(self.items[key])
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.log.append({"key": key, "revision": self.revision, "deleted": True})
                self.changed.notify_all()

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                for lease in [n for n, (until, _) in self.leases.items() if until < time.monotonic()]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def handle(self, method, path, query, body, headers):
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, dict(item, store_revision=self.revision)) if item else (404, {"store_revision": self.revision})
            if path == "/kv-range":
                items = [item for key, item in sorted(self.items.items())
                         if key.startswith(query["prefix"]) and key > query.get("after", "")]
                return 200, {"items": items, "has_more": False, "store_revision": self.revision}
            if path == "/kv-watch":
                def events():
                    return [e for e in self.log if e["key"].startswith(query["prefix"]) and e["revision"] > int(query["after"])]
                self.changed.wait_for(events, int(query["wait_ms"]) / 1000.0)
                return 200, {"events": events(), "store_revision": self.revision}
            if path == "/kv-lease":
                self.lease_count += 1
                self.leases[self.lease_count] = (time.monotonic() + body["ttl_ms"] / 1000.0, body["ttl_ms"])
                return 200, {"lease": self.lease_count, "ttl_ms": body["ttl_ms"]}
            if path.startswith("/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl_ms = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_ms / 1000.0, ttl_ms)
                return 200, {"ttl_ms": ttl_ms}
            if path.startswith("/kv-lease-end/"):
                self.end_lease(int(path.rsplit("/", 1)[1]))
                return 200, {}
            if path == "/kv-txn":
                for row in body.get("expected_rev", []):
                    if self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]:
                        return 412, {"items": []}
                if any(item.get("lease", 0) and item["lease"] not in self.leases for item in body.get("set_keys", [])):
                    return 404, {}
                for item in body.get("set_keys", []):
                    self.put_base64(item["key"], item["value"], item.get("lease", 0))
                for key in body.get("remove", []):
                    self.remove(key)
                return 200, {"revision": self.revision}
        return 404, {}


class Fleet:
    """The executors, in a process of their own. Keeps what they say: starts, ends, and tasks at work on two of them at once."""

    def __init__(self, record, description):
        self.record, self.starts, self.ends, self.twice, self.opened = record, [], [], [], threading.Event()
        command = [sys.executable, os.path.join(os.path.dirname(os.path.abspath(__file__)), "executors2.py"), json.dumps(description)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        threading.Thread(target=self.read, daemon=True).start()
        self.opened.wait(10)

    def read(self):
        for line in self.process.stdout:
            at, what = line.rstrip("\n").split(" ", 1)
            self.record("executor " + what, float(at))
            words = what.split(" ")
            if words[0] == "open":
                self.opened.set()
            elif words[0] == "start":
                self.starts.append((float(at), words[1], words[2], int(words[3])))
            elif words[0] == "end":
                self.ends.append((float(at), words[1], words[2], int(words[3]), words[4]))
            elif words[0] == "TWICE":
                self.twice.append((float(at), words[1]))

    def close(self):
        self.process.stdin.close()
        try:
            self.process.wait(3)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def free_ports(count):
    sockets = [socket.create_server(("0.0.0.0", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Deployment:
    """Entries and agents as processes of their own, each agent with an executor beside it."""

    def __init__(self, record, entries=3, agents=5, service=SERVICE, cpu=16000):
        self.record, self.children = record, {}
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends what was started
        self.directory = tempfile.TemporaryDirectory()
        self.roles = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))["roles"]
        self.entries = ["127.0.1.%d" % n for n in range(1, entries + 1)]
        self.agents = ["127.0.2.%d" % n for n in range(1, agents + 1)]
        self.peer, self.metrics, self.clients, self.ready, self.control, self.app = free_ports(6)
        self.store = Store()
        self.zone = lambda ip: "cairo-a"
        self.evacuation = False  # Whether the site has the bound evacuate_ms.
        self.advertise = {}  # Address under which the others reach a process, if not its own.
        self.configure(1)
        self.fleet = Fleet(record, {"service": SERVICE, "app": self.app, "cpu": cpu, "heartbeat_s": 1.5, "executors": [
            {"name": "x%d" % n, "host": ip, "agent": "%s:%d" % (ip, self.control)} for n, ip in enumerate(self.agents, 1)]})

    def configure(self, version):
        routes = [{"name": name, "host": HOST, "prefix": prefix, "type": "non_idempotent", "timeout_ms": 1500,
                   "target_latency_ms": 60, "priority": priority, "service": SERVICE, "max_attempts": 4, "slack_factor": 1.6}
                  for name, (prefix, priority) in QUEUES.items()]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        services = [{"name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                     "admission_check": False, "standby": False}]
        self.store.put("op/config", json.dumps({"version": version, "routes": routes, "services": services, "limits": limits}))

    def settings(self, ip):
        entry = ip in self.entries
        hosts = [self.advertise.get(e, "%s:%d" % (e, self.peer)) for e in self.entries[:3]]
        settings = {"role": "job-entry" if entry else "job-agent", "node": "node-" + ip, "failure_domain": self.zone(ip),
                    "peer": {"listen": "%s:%d" % (ip, self.peer), "entry_hosts": hosts},
                    "metrics": {"listen": "%s:%d" % (ip, self.metrics)}, "store": {"address": self.store.address}}
        if self.evacuation:
            settings["evacuation"] = {"follow": True}
        if ip in self.advertise:
            settings["peer"]["advertise"] = self.advertise[ip]
        if entry:
            settings["clients"] = {"listen": "%s:%d" % (ip, self.clients), "ready_listen": "%s:%d" % (ip, self.ready)}
            settings["placement"] = {"remote_data_factor": 1.5}
        else:
            settings["server"] = {"announce_listen": "%s:%d" % (ip, self.control), "address": "%s:%d" % (ip, self.app),
                                  "service": SERVICE, "lease_ms": MAX_HOLD_MS}
        return settings

    def start(self, ip):
        path = os.path.join(self.directory.name, ip + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(ip), file)
        command = self.roles["entry" if ip in self.entries else "agent"]["run"].split(" ")
        command = [path if word == "/etc/cuminscale/boot.json" else word for word in command]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CUMINSCALE_NODE_FILE"] = path
        with open(os.path.join(self.directory.name, ip + ".log"), "ab") as log:
            self.children[ip] = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def start_all(self):
        for ip in self.entries + self.agents:
            self.start(ip)

    def wait_ready(self, seconds=20.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(self.is_ready(ip) for ip in self.entries):
                return True
            time.sleep(0.05)
        return False

    def is_ready(self, ip):
        try:
            if request("GET", (ip, self.ready), "/ready", None, {}, 1.0)[0] != 200:
                return False
            text = request("GET", (ip, self.metrics), "/metrics", None, {}, 1.0)[1]
            return "cuminscale_agents_usable %d\n" % len(self.agents) in text
        except OSError:
            return False

    def kill(self, ips):
        for ip in ips:
            self.children[ip].send_signal(signal.SIGKILL)
        for ip in ips:
            self.children[ip].wait()

    def ended_by_themselves(self):
        return [(ip, child.returncode) for ip, child in self.children.items()
                if child.poll() is not None and child.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM)]

    def keep_logs(self, folder):
        for ip in self.children:
            os.system("cp %s/%s.log %s/" % (self.directory.name, ip, folder))

    def close(self):
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        self.fleet.close()
        self.directory.cleanup()


def request(method, address, path, body, headers, timeout):
    """One request on a channel of its own. Returns (status, text); raises OSError or HTTPException if there is no whole answer."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    finally:
        connection.close()


def job_body(tasks, run_ms, cpu=2000):
    return json.dumps({"spec": json.dumps({"run_ms": run_ms}), "best_effort": True,
                       "steps": [{"count": tasks, "cpu": cpu, "mem_mb": 256, "estimate_ms": run_ms}]})


def job_headers(deadline_ms=1500):
    return {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": str(deadline_ms)}


def run(case):
    """Runs a case and returns its exit code; 2 if an error of the harness kept it from running."""
    try:
        return case()
    except Exception as error:
        print("the case can't run: %r" % error)
        return 2
