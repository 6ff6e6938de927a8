#!/usr/bin/env python3
"""Stand-in for the key-value store: the subset of the etcd v3 JSON gateway that an entry uses.

POST /control with {"mode": "up" | "down" | "slow" | "lose", "delay_ms": N} sets a fault: "down" closes every connection without a
response, "slow" delays every response by `delay_ms`, and "lose" applies writes but drops their responses. POST /control with
{"snapshot": true} saves the contents; {"restore": true} writes the saved values back, to imitate a store restored from a backup. Keys
created after the snapshot are kept, and the revision continues to rise.
GET on any path returns the number of calls, the keys and the revision.
"""

import argparse
import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Store:
    """Keys with revisions, leases, and the history of changes that watches read."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 1
        self.keys = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.mode = "up"
        self.delay_s = 0.0
        self.calls = 0
        self.saved_keys = None

    def put(self, key, value, lease=None):
        self.revision += 1
        self.keys[key] = {"value": value, "mod": self.revision, "lease": lease}
        self.history.append((self.revision, "PUT", key, value))
        self.lock.notify_all()

    def delete(self, key):
        if key in self.keys:
            self.revision += 1
            del self.keys[key]
            self.history.append((self.revision, "DELETE", key, ""))
            self.lock.notify_all()

    def expire_leases(self):
        now = time.monotonic()
        for lease, (deadline, _) in list(self.leases.items()):
            if deadline < now:
                self.drop_lease(lease)

    def drop_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.keys.items() if v["lease"] == lease]:
            self.delete(key)


STORE = Store()


def decode(text):
    return base64.b64decode(text or "").decode("utf-8", "surrogateescape")


def encode(text):
    return base64.b64encode(text.encode("utf-8", "surrogateescape")).decode()


def key_in_range(key, start, end):
    return key == start if not end else start <= key < end


def encode_item(key, value, mod):
    return {"key": encode(key), "value": encode(value), "mod_revision": str(mod)}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def reply(self, body, status=200):
        text = (json.dumps(body) + "\n").encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def header(self):
        return {"revision": str(STORE.revision)}

    def do_GET(self):
        with STORE.lock:
            state = {"calls": STORE.calls, "keys": sorted(STORE.keys), "revision": STORE.revision}
        self.reply(state)

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/control":
            self.control(json.loads(body))
            return
        with STORE.lock:
            STORE.calls += 1
            mode, delay = STORE.mode, STORE.delay_s
        if mode == "down":
            self.close_connection = True
            self.connection.close()
            return
        if mode == "slow":
            time.sleep(delay)
        request = json.loads(body)
        if self.path == "/v3/watch":
            self.watch(request["create_request"])
            return
        writes = self.path in ("/v3/kv/txn", "/v3/kv/put")
        with STORE.lock:
            STORE.expire_leases()
            response = self.execute(request)
        if response is None:
            self.reply({"error": "unknown path"}, 404)
        elif mode == "lose" and writes:
            self.close_connection = True
            self.connection.close()
        else:
            self.reply(response)

    def execute(self, request):
        """Executes a call and returns its response, or None for an unknown path. The caller must hold the store's lock."""
        if self.path == "/v3/kv/range":
            start, end = decode(request["key"]), decode(request.get("range_end"))
            matches = [encode_item(k, v["value"], v["mod"]) for k, v in sorted(STORE.keys.items()) if key_in_range(k, start, end)]
            return {"header": self.header(), "kvs": matches, "count": str(len(matches))}
        if self.path == "/v3/kv/put":
            STORE.put(decode(request["key"]), decode(request["value"]), request.get("lease"))
            return {"header": self.header()}
        if self.path == "/v3/kv/txn":
            for compare in request["compare"]:
                stored = STORE.keys.get(decode(compare["key"]), {"mod": 0})
                if stored["mod"] != int(compare["mod_revision"]):
                    return {"header": self.header(), "succeeded": False}
            for op in request["success"]:
                put = op["request_put"]
                STORE.put(decode(put["key"]), decode(put["value"]))
            return {"header": self.header(), "succeeded": True}
        if self.path == "/v3/lease/grant":
            STORE.next_lease += 1
            lease, ttl = str(STORE.next_lease), int(request["TTL"])
            STORE.leases[lease] = (time.monotonic() + ttl, ttl)
            return {"header": self.header(), "ID": lease, "TTL": str(ttl)}
        if self.path == "/v3/lease/keepalive":
            lease = request["ID"]
            if lease not in STORE.leases:
                return {"result": {"header": self.header(), "ID": lease, "TTL": "0"}}
            ttl = STORE.leases[lease][1]
            STORE.leases[lease] = (time.monotonic() + ttl, ttl)
            return {"result": {"header": self.header(), "ID": lease, "TTL": str(ttl)}}
        if self.path == "/v3/lease/revoke":
            STORE.drop_lease(request["ID"])
            return {"header": self.header()}
        return None

    def write_chunk(self, body):
        text = (json.dumps(body) + "\n").encode()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
        self.wfile.flush()

    def watch(self, create):
        """Streams the changes of a key range from `start_revision` on, until the client disconnects or the mode is "down"."""
        start, end = decode(create["key"]), decode(create.get("range_end"))
        next_revision = int(create.get("start_revision", STORE.revision + 1))
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.close_connection = True
        try:
            self.write_chunk({"result": {"header": self.header(), "created": True}})
            while True:
                with STORE.lock:
                    STORE.expire_leases()
                    if STORE.mode == "down":
                        return
                    changes = [h for h in STORE.history if h[0] >= next_revision and key_in_range(h[2], start, end)]
                    if not changes:
                        STORE.lock.wait(0.2)
                        continue
                    next_revision = changes[-1][0] + 1
                events = [{"type": t, "kv": encode_item(k, v, r)} for r, t, k, v in changes]
                self.write_chunk({"result": {"header": self.header(), "events": events}})
        except OSError:
            return

    def control(self, command):
        with STORE.lock:
            STORE.mode = command.get("mode", STORE.mode)
            STORE.delay_s = command.get("delay_ms", 0) / 1000.0
            if command.get("snapshot"):
                STORE.saved_keys = {k: dict(v) for k, v in STORE.keys.items()}
            if command.get("restore") and STORE.saved_keys is not None:
                for key, stored in STORE.saved_keys.items():
                    if STORE.keys.get(key, {}).get("value") != stored["value"]:
                        STORE.put(key, stored["value"], stored["lease"])
            STORE.lock.notify_all()
        self.reply({"mode": STORE.mode})


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--port", type=int, default=0, help="port on loopback; 0 lets the system choose")
    args = parser.parse_args()
    server = ThreadingHTTPServer(("127.0.0.1", args.port), Handler)
    server.daemon_threads = True
    print(json.dumps({"store": "127.0.0.1:%d" % server.server_address[1]}), flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
