#!/usr/bin/env python3
"""Demo of jobs on the platform: two entries and three agents as real processes, with stand-ins for the platform's store and servers.

It submits a job, submits it again, evacuates a failure domain, and restarts an entry while the store is unavailable.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

from cluster import BUILD, http
from platform_standin import BackendServer, Store

ENTRIES = ["127.0.1.1", "127.0.1.2"]
AGENTS = ["127.0.2.1", "127.0.2.2", "127.0.2.3"]
SERVICE = "pairing"
JOB_HEADERS = {"Host": "pairing.example", "Content-Type": "application/json", "Deadline-Ms": "5000"}


def free_ports(count):
    """Ports that are currently free on all loopback addresses."""
    sockets = [socket.create_server(("0.0.0.0", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Platform:
    """The stand-ins, and the entries and agents as child processes."""

    entries, agents = ENTRIES, AGENTS

    def __init__(self, directory):
        self.directory, self.children = directory, {}
        self.peer_port, self.client_port, self.ready_port, self.metrics_port, self.announce_port, self.server_port = free_ports(6)
        self.store = Store()
        self.servers = self.make_servers()
        for server, ip in zip(self.servers, self.agents):
            server.serve((ip, self.server_port))
        self.configure(1)
        for ip in self.entries + self.agents:
            self.start(ip)

    def make_servers(self):
        return [BackendServer(SERVICE, "%s:%d" % (ip, self.announce_port)) for ip in self.agents]

    def configure(self, version):
        route = {"name": "match", "host": "pairing.example", "prefix": "/match/", "type": "non_idempotent", "timeout_ms": 1500,
                 "target_latency_ms": 60, "priority": 0, "service": SERVICE, "max_attempts": 3, "slack_factor": 1.6}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.store.put("op/config", json.dumps({"version": version, "routes": [route], "services": [], "limits": limits}))

    def settings(self, ip):
        """Contents of the settings file of the process at `ip`."""
        entry = ip in self.entries
        settings = {
            "role": "job-entry" if entry else "job-agent", "node": "node-" + ip, "failure_domain": "domain-a",
            "peer": {"listen": "%s:%d" % (ip, self.peer_port), "entry_hosts": ["%s:1" % e for e in self.entries]},
            "metrics": {"listen": "%s:%d" % (ip, self.metrics_port)}, "store": {"address": self.store.http.endpoint}}
        if entry:
            settings["clients"] = {"listen": "%s:%d" % (ip, self.client_port), "ready_listen": "%s:%d" % (ip, self.ready_port)}
        else:
            settings["server"] = {"announce_listen": "%s:%d" % (ip, self.announce_port), "address": "%s:%d" % (ip, self.server_port),
                                  "service": SERVICE}
        return settings

    def start(self, ip):
        settings = self.settings(ip)
        path = os.path.join(self.directory, ip + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        command = [os.path.join(BUILD, "src", "cuminscaled"), "--settings", path]
        with open(os.path.join(self.directory, ip + ".log"), "ab") as log:
            self.children[ip] = subprocess.Popen(command, stdout=log, stderr=log)

    def wait_ready(self, seconds=20.0):
        """Waits until every entry reports ready and counts every agent as usable; returns whether that was so within `seconds`."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            metrics = [http("GET", "%s:%d" % (ip, self.metrics_port), "/metrics")[2] for ip in self.entries]
            ready = [http("GET", "%s:%d" % (ip, self.ready_port), "/ready")[0] for ip in self.entries]
            usable = "cuminscale_agents_usable %d\n" % len(self.agents)
            if ready == [200] * len(self.entries) and all(usable in text for text in metrics):
                return True
            time.sleep(0.05)
        return False

    def submit(self, entry, job_id, count, run_ms):
        steps = [{"count": count, "cpu": 2000, "mem_mb": 64, "estimate_ms": run_ms}]
        body = {"spec": json.dumps({"run_ms": run_ms}), "best_effort": True, "steps": steps}
        return http("POST", "%s:%d" % (ENTRIES[entry], self.client_port), "/match/" + job_id, json.dumps(body), JOB_HEADERS)

    def starts(self, job_id):
        return [start for server in self.servers for start in server.starts if start[0].startswith(job_id)]

    def stop(self):
        """Sends SIGTERM to every process and returns the exit codes; a process that runs on for 10 s is killed."""
        codes = []
        for child in self.children.values():
            child.send_signal(signal.SIGTERM)
        for child in self.children.values():
            try:
                codes.append(child.wait(10))
            except subprocess.TimeoutExpired:
                child.kill()
                codes.append(child.wait())
        return codes


class DemoPlatform(Platform):
    """Each agent, with its server, is a failure domain of its own."""

    def settings(self, ip):
        domain = "domain-%d" % (self.agents.index(ip) if ip in self.agents else 0)
        return dict(super().settings(ip), failure_domain=domain, evacuation={"follow": True})


def run_evacuation(platform):
    """Evacuates the domain of the first server, and returns whether it got no task until the end of the evacuation."""
    first, ok = platform.servers[0], True
    print("== a failure domain is evacuated: its server gets no task until the end of the evacuation")
    for key, used in (("op/evacuate/domain-0", False), ("", True)):
        if key:
            platform.store.put(key, "x")
        else:
            platform.store.remove("op/evacuate/domain-0")
        time.sleep(0.6)  # Three heartbeats.
        before = len(first.starts)
        code, _, text = platform.submit(0, "00000000000000c%d" % used, 8, 60)
        started = len(first.starts) - before
        print(code, text, "starts at the server of domain-0:", started)
        ok = ok and code == 200 and (started > 0) == used
    return ok


def run(platform):
    ok = platform.wait_ready()
    print("== a job of 12 tasks of 60 ms")
    code, _, text = platform.submit(0, "00000000000000aa", 12, 60)
    print(code, text, "starts:", len(platform.starts("00000000000000aa")))
    ok = ok and code == 200 and len(platform.starts("00000000000000aa")) == 12
    print("== the same job submitted again to the same entry: no task starts again")
    code, _, text = platform.submit(0, "00000000000000aa", 12, 60)
    print(code, text, "starts:", len(platform.starts("00000000000000aa")))
    ok = ok and code == 200 and len(platform.starts("00000000000000aa")) == 12
    ok = run_evacuation(platform) and ok
    print("== the store is unavailable: an entry restarts and gets the configuration from the other entry")
    platform.store.down = True
    platform.children[ENTRIES[1]].kill()
    platform.children[ENTRIES[1]].wait()
    platform.start(ENTRIES[1])
    ok = platform.wait_ready() and ok
    code, _, text = platform.submit(1, "00000000000000bb", 4, 60)
    print(code, text)
    ok = ok and code == 200
    platform.store.down = False
    print("== log lines of the entry about the first job")
    with open(os.path.join(platform.directory, ENTRIES[0] + ".log")) as log:
        print("".join(line for line in log if "job=00000000000000aa" in line), end="")
    codes = platform.stop()
    print("exit codes after SIGTERM:", codes)
    return ok and all(code == 0 for code in codes)


def main():
    with tempfile.TemporaryDirectory() as directory:
        platform = DemoPlatform(directory)
        try:
            ok = run(platform)
        finally:
            for child in platform.children.values():
                if child.poll() is None:
                    child.kill()
    print("platform demo", "succeeded" if ok else "FAILED")
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
