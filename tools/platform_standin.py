"""Stand-ins for the platform on loopback: its key-value store, and backend servers that announce themselves.

They implement the part of the platform's protocol that the demo, the benchmarks and the soak test use.
"""

import base64
import http.server
import json
import threading
import time
import urllib.parse
import urllib.request


MAX_LEASE_MS = 1000  # longest lease, counted from the request that extends it


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def handle_any(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        url = urllib.parse.urlsplit(self.path)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
        status, response = self.server.owner.handle_request(self.command, url.path, query, json.loads(body) if body else {})
        if status == 0:
            self.close_connection = True  # the server has crashed: no response
            return
        data = json.dumps(response).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = handle_any


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, owner, address):
        super().__init__(address, Handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignores broken connections, which are expected because the tests kill client processes."""

    @property
    def endpoint(self):
        return "%s:%d" % self.server_address


class Store:
    """Items with revisions, watches and leases. Leases never expire in this stand-in."""

    def __init__(self, address=("127.0.0.1", 0)):
        self.items, self.deletions, self.revision, self.lease_count, self.down = {}, {}, 100, 0, False
        self.changed = threading.Condition()
        self.http = Server(self, address)

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {"created": self.revision})["created"]
            self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                               "created": created, "lease": lease}
            self.deletions.pop(key, None)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.deletions[key] = {"key": key, "revision": self.revision, "deleted": True}
                self.changed.notify_all()

    def handle_request(self, method, path, query, body):
        if self.down:
            return 503, {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, store_revision=self.revision)) if item else (404, {"store_revision": self.revision})
        if path == "/kv-range":
            with self.changed:
                items = [item for key, item in sorted(self.items.items()) if key.startswith(query["prefix"])]
            return 200, {"items": items, "has_more": False, "store_revision": self.revision}
        if path == "/kv-watch":
            return self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if path == "/kv-lease":
            self.lease_count += 1
            return 200, {"lease": self.lease_count, "ttl_ms": body["ttl_ms"]}
        if path == "/kv-txn":
            return self.transact(body)
        if path.startswith("/kv-keep/"):
            return 200, {"ttl_ms": 6000}
        return 200, {}

    def watch(self, prefix, after, wait_ms):
        def events():
            changes = list(self.items.values()) + list(self.deletions.values())
            return sorted((change for change in changes if change["key"].startswith(prefix) and change["revision"] > after),
                          key=lambda change: change["revision"])

        with self.changed:
            self.changed.wait_for(events, wait_ms / 1000.0)
            return 200, {"events": events(), "store_revision": self.revision}

    def transact(self, body):
        with self.changed:
            for row in body.get("expected_rev", []):
                if self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]:
                    return 412, {"items": []}
        for item in body.get("set_keys", []):
            self.put(item["key"], base64.b64decode(item["value"]).decode(), item.get("lease", 0))
        return 200, {"revision": self.revision}


class BackendServer:
    """Backend server whose tasks only sleep, for the `run_ms` that their spec names.

    Leases, fencing tokens and run numbers are checked as on the platform: every run is stopped when the lease expires, a request with an
    older token is rejected, and so is a start whose run number the task has reached already, unless it repeats the current run.
    """

    def __init__(self, service, agent_address, cpu=16000):
        self.service, self.agent, self.cpu = service, agent_address, cpu
        self.id = "i-%08x" % (id(self) & 0xFFFFFFFF)
        self.start_time_ms = int(time.time() * 1000)
        self.clock_origin = time.monotonic()
        self.sequence = self.token = self.end_count = 0
        self.lease_end_ms = 0
        self.running, self.highest_run, self.finished, self.starts = {}, {}, [], []
        self.changed = threading.Condition()
        self.closed = False
        self.down_until = 0.0

    def serve(self, address):
        self.http = Server(self, address)
        threading.Thread(target=self.announce, daemon=True).start()
        threading.Thread(target=self.enforce_lease, daemon=True).start()

    def on_start(self, task):
        """Called for each start; does nothing unless overridden."""

    def on_end(self, task, outcome):
        """Called for each run that ends, also by a crash; does nothing unless overridden."""

    def enforce_lease(self):
        while not self.closed:
            time.sleep(0.005)
            with self.changed:
                if self.running and self.clock_ms() > self.lease_end_ms:
                    for task, (run, _) in list(self.running.items()):
                        self.finish(task, run, "lapsed")

    def extend_lease(self, deadline_ms):
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, self.clock_ms() + MAX_LEASE_MS))

    def crash(self, seconds):
        """Loses all state and sends no responses for `seconds`; the next incarnation has the same id."""
        with self.changed:
            for task in self.running:
                self.on_end(task, "crashed")
            self.running, self.highest_run, self.finished = {}, {}, []
            self.token = self.end_count = self.sequence = self.lease_end_ms = 0
            self.down_until = time.monotonic() + seconds
            self.start_time_ms = int((time.time() + seconds) * 1000)
            self.clock_origin = self.down_until
            self.changed.notify_all()

    def clock_ms(self):
        """The server's own clock, which starts again with each incarnation; `deadline_ms` in requests refers to it."""
        return int((time.monotonic() - self.clock_origin) * 1000) + 1000

    def announce(self):
        while not self.closed:
            if time.monotonic() < self.down_until:
                time.sleep(0.02)
                continue
            self.sequence += 1
            body = {"service": self.service, "address": self.http.endpoint, "zone": "z", "version": "v1", "slots": 8, "state": "ready",
                    "cold_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0}, "labels": ["a", "r1"],
                    "clock_ms": self.clock_ms(), "seq": self.sequence, "born": self.start_time_ms}
            try:
                request = urllib.request.Request("http://%s/instances/%s" % (self.agent, self.id), json.dumps(body).encode(),
                                                 {"Content-Type": "application/json"}, method="PUT")
                urllib.request.urlopen(request, timeout=1).close()
                time.sleep(0.5)
            except OSError:
                time.sleep(0.1)  # the agent does not listen yet

    def finish(self, task, run, outcome):
        with self.changed:
            if self.running.get(task, (None,))[0] == run:
                del self.running[task]
                self.on_end(task, outcome)
                self.end_count += 1
                self.finished.append([self.end_count, task, run, outcome, ""])
                self.changed.notify_all()

    def handle_request(self, method, path, query, body):
        with self.changed:
            if time.monotonic() < self.down_until:
                return 0, {}
            if body.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": self.clock_ms(), "born": self.start_time_ms, "reason": "fence"}
            self.token = body.get("fencing_token", 0)
            if path == "/run-start":
                return self.start(body)
            if path == "/run-stop":
                self.highest_run[body["task"]] = max(self.highest_run.get(body["task"], 0), body["run_id"])
                threading.Timer(0.01, self.finish, (body["task"], body["run_id"], "stopped")).start()
                return 200, {"clock_ms": self.clock_ms()}
            # Every other path is a poll. It acknowledges the ends up to `last_seen` and extends the lease. If no other end is left to
            # report, it waits up to `wait_ms` for one.
            self.finished = [end for end in self.finished if end[0] > body.get("last_seen", 0)]
            self.extend_lease(body.get("deadline_ms", 0))
            start_time_ms = self.start_time_ms
            if not self.finished and body.get("wait_ms", 0):
                self.changed.wait_for(lambda: self.finished or self.start_time_ms != start_time_ms, body["wait_ms"] / 1000.0)
            if self.start_time_ms != start_time_ms:
                return 0, {}
            running = [[task, run, "", 0] for task, (run, _) in self.running.items()]
            return 200, {"clock_ms": self.clock_ms(), "born": self.start_time_ms, "running": running, "finished": list(self.finished)}

    def start(self, body):
        task, run = body["task"], body["run_id"]
        if self.running.get(task, (None,))[0] == run:
            return 200, {"clock_ms": self.clock_ms()}
        if run <= self.highest_run.get(task, 0):
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self.highest_run[task] = run
        self.running[task] = (run, body["spec"])
        self.starts.append((task, run, body["spec"]))
        self.extend_lease(body["deadline_ms"])
        self.on_start(task)
        threading.Timer(json.loads(body["spec"]).get("run_ms", 50) / 1000.0, self.finish, (task, run, "done")).start()
        return 200, {"clock_ms": self.clock_ms()}
