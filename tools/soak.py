#!/usr/bin/env python3
"""Randomized soak test: real processes on loopback under injected faults, with invariants checked throughout.

Usage: soak.py [--seeds N] [--first SEED] [--seconds S] [--keep DIRECTORY]

The invariants are checked on what clients and backend servers observe:
  - a task never runs on two servers at once;
  - the running tasks of a server never need more CPU than it has;
  - no task of a job starts after every attempt of its client was refused;
  - a job is reported as succeeded only if each of its tasks was completed;
  - no task starts in an evacuated domain from EVACUATION_TIMEOUT_S after the operators' key until its removal;
  - no process ends by itself, whatever bytes it receives;
  - after the last fault, jobs succeed again within RECOVERY_TIMEOUT_S, and afterwards no task is still running.
With --keep, the logs of a seed that violated an invariant are copied to DIRECTORY.
"""

import argparse
import http.client
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time

from platform_demo import Platform
from platform_standin import BackendServer
from relay import Relays

ENTRIES = ["127.0.1.%d" % n for n in (1, 2, 3)]
AGENTS = ["127.0.2.%d" % n for n in (1, 2, 3, 4, 5)]
SERVICE = "pairing"
SERVER_CPU_MILLI = 12000
TASK_CPU_MILLI = 2000
RESUBMIT_INTERVAL_S = 1.3
CLIENT_TIMEOUT_S = 5.0
RECOVERY_TIMEOUT_S = 12.0
DOMAINS = ["domain-a", "domain-b", "domain-c"]
EVACUATION_TIMEOUT_S = 5.0


def domain_of(ip):
    """Failure domain of the process at `ip`."""
    return DOMAINS[int(ip.split(".")[-1]) % len(DOMAINS)]


class InvariantChecker:
    """Checks the invariants over all servers and clients; `violations` lists the ones that failed."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running, self.done, self.refused, self.violations = {}, set(), set(), []
        self.starts = 0
        self.evacuated = {}  # When each evacuated domain was to be empty.

    def record_evacuation(self, domain, begins):
        with self.lock:
            if begins:
                self.evacuated[domain] = time.monotonic() + EVACUATION_TIMEOUT_S
            else:
                self.evacuated.pop(domain, None)

    def record_start(self, server, task, cpu_in_use):
        with self.lock:
            self.starts += 1
            servers_running = self.running.setdefault(task, set())
            if servers_running - {server}:
                self.violations.append("%.3f: task %s started on %s while it runs on %s"
                                       % (time.time(), task, server.name, [s.name for s in servers_running]))
            if cpu_in_use > SERVER_CPU_MILLI:
                self.violations.append("%.3f: %d of %d milli-CPU in use on %s" % (time.time(), cpu_in_use, SERVER_CPU_MILLI, server.name))
            if time.monotonic() > self.evacuated.get(server.domain, float("inf")):
                self.violations.append("%.3f: task %s started on %s in evacuated %s" % (time.time(), task, server.name, server.domain))
            if task.split(".")[0] in self.refused:
                self.violations.append("%.3f: task of a refused job started: %s" % (time.time(), task))
            servers_running.add(server)

    def record_end(self, server, task, outcome):
        with self.lock:
            self.running.get(task, set()).discard(server)
            if outcome == "done":
                self.done.add(task)

    def record_refusal(self, job):
        """Called when every attempt of a client was refused: no task of the job may be running now or start later."""
        with self.lock:
            self.refused.add(job)
            if any(self.running.get("%s.0.0.%d" % (job, i)) for i in range(8)):
                self.violations.append("%.3f: job refused while one of its tasks runs: %s" % (time.time(), job))

    def record_success(self, job, tasks):
        with self.lock:
            missing = [i for i in range(tasks) if "%s.0.0.%d" % (job, i) not in self.done]
            if missing:
                self.violations.append("%.3f: job %s reported as succeeded without its tasks %s" % (time.time(), job, missing))


class CheckedServer(BackendServer):
    """Reports each start and end of a run to the checker."""

    def __init__(self, name, checker, agent_address):
        super().__init__(SERVICE, agent_address, SERVER_CPU_MILLI)
        self.name, self.checker, self.domain = name, checker, domain_of(name)

    def on_start(self, task):
        self.checker.record_start(self, task, TASK_CPU_MILLI * len(self.running))

    def on_end(self, task, outcome):
        self.checker.record_end(self, task, outcome)


class Soak(Platform):
    """Processes, load and faults of one seed. Every connection between processes, servers and the store passes through a relay."""

    entries, agents = ENTRIES, AGENTS

    def __init__(self, directory, seed):
        self.rng, self.checker, self.relays = random.Random(seed), InvariantChecker(), Relays()
        self.version, self.stopping, self.fault_counts = 1, threading.Event(), {}
        self.restart_lock = threading.Lock()  # No process is started by a timer once `stopping` is set.
        super().__init__(directory)

    def make_servers(self):
        servers = [CheckedServer(ip, self.checker, "%s:%d" % (ip, self.announce_port)) for ip in AGENTS]
        self.store_relay = self.relays.add(("127.0.5.1", self.server_port), tuple(self.store.http.server_address))
        self.peer_relays = [self.relays.add((self.relay_host(ip), self.peer_port), (ip, self.peer_port)) for ip in ENTRIES + AGENTS]
        self.server_relays = [self.relays.add((self.relay_host(ip), self.server_port), (ip, self.server_port)) for ip in AGENTS]
        return servers

    def relay_host(self, ip):
        """Host of the relay through which others reach the process and the server at `ip`."""
        return ip.replace("127.0.1.", "127.0.3.").replace("127.0.2.", "127.0.4.")

    def settings(self, ip):
        settings = super().settings(ip)
        settings["peer"].update(advertise="%s:%d" % (self.relay_host(ip), self.peer_port),
                                entry_hosts=["%s:1" % self.relay_host(e) for e in ENTRIES])
        settings["failure_domain"] = domain_of(ip)
        settings["evacuation"] = {"follow": True}
        settings["store"]["address"] = "127.0.5.1:%d" % self.server_port
        if "server" in settings:
            settings["server"]["address"] = "%s:%d" % (self.relay_host(ip), self.server_port)
        return settings

    def signal(self, ip, number):
        """Sends a signal to the process at `ip` unless it has exited."""
        if self.children[ip].poll() is None:
            self.children[ip].send_signal(number)

    def restart_later(self, ip, seconds):
        """Starts the process at `ip` again after `seconds`, once its predecessor has exited."""
        def restart():
            self.children[ip].wait()
            self.check_exits()
            with self.restart_lock:
                if not self.stopping.is_set() and self.children[ip].poll() is not None:
                    self.start(ip)

        threading.Timer(seconds, restart).start()

    def stop_restarts(self):
        """No timer starts a process after this returns."""
        with self.restart_lock:
            self.stopping.set()

    def inject_fault(self):
        """Injects one random fault and returns its kind. Faults with a duration are ended by a timer, so several can overlap."""
        kind = self.rng.choice(["kill", "term", "pause", "hup", "reset", "delay", "cut", "silence", "store-down", "store-relay", "crash",
                                "configure", "server-relay", "malformed", "evacuate"])
        self.fault_counts[kind] = self.fault_counts.get(kind, 0) + 1
        ip, seconds = self.rng.choice(ENTRIES + AGENTS), self.rng.uniform(0.2, 2.5)
        if kind == "kill" or kind == "term":
            self.signal(ip, signal.SIGCONT)
            self.signal(ip, signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            self.restart_later(ip, seconds)
        elif kind == "pause":
            self.signal(ip, signal.SIGSTOP)
            threading.Timer(seconds, self.signal, (ip, signal.SIGCONT)).start()
        elif kind == "hup":
            self.signal(ip, signal.SIGHUP)
        elif kind in ("reset", "delay", "cut", "silence"):
            self.relays.inject_fault(kind, self.rng.choice(self.peer_relays), self.rng, seconds)
        elif kind == "server-relay":
            self.relays.inject_fault(self.rng.choice(["reset", "cut", "silence"]), self.rng.choice(self.server_relays), self.rng, seconds)
        elif kind == "store-relay":
            self.relays.inject_fault(self.rng.choice(["reset", "cut", "silence", "delay"]), self.store_relay, self.rng, seconds)
        elif kind == "store-down":
            self.store.down = True
            threading.Timer(seconds, setattr, (self.store, "down", False)).start()
        elif kind == "crash":
            self.rng.choice(self.servers).crash(seconds)
        elif kind == "malformed":
            self.send_malformed(ip)
        elif kind == "evacuate" and not self.checker.evacuated:
            domain = self.rng.choice(DOMAINS)
            self.checker.record_evacuation(domain, True)
            self.store.put("op/evacuate/" + domain, "x")
            threading.Timer(self.rng.uniform(0.5, EVACUATION_TIMEOUT_S + 3), self.end_evacuation, (domain,)).start()
        elif kind == "configure":
            self.version += self.rng.randint(1, 5)
            self.configure(self.version)
        return kind

    def end_evacuation(self, domain):
        self.checker.record_evacuation(domain, False)
        self.store.remove("op/evacuate/" + domain)

    def send_malformed(self, ip):
        """Sends random bytes, or a request with a random or truncated body, to every port of the process at `ip`."""
        ports = [self.peer_port, self.metrics_port] + ([self.client_port, self.ready_port] if ip in ENTRIES else [self.announce_port])
        body = json.dumps({"spec": "s", "best_effort": True, "steps": [{"count": 1, "cpu": TASK_CPU_MILLI}]}).encode()
        request = b"%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n"
        target = b"POST /match/%016x" % self.rng.getrandbits(60) if ip in ENTRIES else b"PUT /instances/i-1"
        for port in ports:
            for content in (self.rng.randbytes(200), request % (target, ip.encode(), 60) + self.rng.randbytes(60),
                            request % (target, ip.encode(), len(body)) + body[:self.rng.randrange(len(body))]):
                try:
                    with socket.create_connection((ip, port), timeout=0.5) as connection:
                        connection.sendall(content)
                except OSError:
                    pass  # The process may be down or paused.

    def check_exits(self):
        """A process that is not running was ended by this test, or it is a violation."""
        for ip, child in self.children.items():
            if child.poll() is not None and child.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
                self.checker.violations.append("process at %s ended with %d" % (ip, child.returncode))

    def submit_job(self, job, tasks, run_ms):
        """Submits a job as one client and returns the last HTTP status, 0 if the last attempt got no response.

        After a connection error, 502 or 504 it submits the job again to a random entry, until CLIENT_TIMEOUT_S has passed.
        """
        deadline, only_refused, status = time.monotonic() + CLIENT_TIMEOUT_S, True, 0
        steps = [{"count": tasks, "cpu": TASK_CPU_MILLI, "mem_mb": 64, "estimate_ms": run_ms}]
        body = json.dumps({"spec": json.dumps({"run_ms": run_ms}), "best_effort": True, "steps": steps})
        while (remaining_s := deadline - time.monotonic()) > 0:
            headers = {"Host": "pairing.example", "Content-Type": "application/json", "Deadline-Ms": str(int(remaining_s * 1000))}
            connection = http.client.HTTPConnection(random.choice(ENTRIES), self.client_port, timeout=remaining_s)
            connected = False
            try:
                connection.connect()
                connected = True
                connection.request("POST", "/match/" + job, body, headers)
                answer = connection.getresponse()
                status, text = answer.status, answer.read()
            except (OSError, http.client.HTTPException):
                status, text = 0, b""
            connection.close()
            if status == 200 and json.loads(text)["state"] == "succeeded":
                self.checker.record_success(job, tasks)
            only_refused = only_refused and (status in (503, 404) or not connected)
            if status not in (0, 502, 504):
                break
            time.sleep(RESUBMIT_INTERVAL_S)
        if only_refused and status == 503:
            self.checker.record_refusal(job)
        return status

    def load(self, seconds, results):
        """Submits 20 jobs a second, each from a thread of its own."""
        deadline, clients, n = time.monotonic() + seconds, [], 0
        while time.monotonic() < deadline:
            n += 1

            def client(job="%016x" % (0x50000 + n), tasks=1 + n % 5, run_ms=2000 if n % 6 == 0 else 30 + 40 * (n % 4)):
                results.append(self.submit_job(job, tasks, run_ms))

            clients.append(threading.Thread(target=client))
            clients[-1].start()
            time.sleep(0.05)
        for client in clients:
            client.join()

    def run(self, seconds):
        """Runs load and faults for `seconds`, then checks that the system recovers. Returns the last HTTP status of each job."""
        results = []
        load = threading.Thread(target=self.load, args=(seconds, results))
        load.start()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            time.sleep(self.rng.uniform(0.15, 0.9))
            self.inject_fault()
        self.stop_restarts()
        load.join()
        self.check_exits()
        for ip in ENTRIES + AGENTS:
            self.signal(ip, signal.SIGCONT)
            if self.children[ip].poll() is not None:
                self.start(ip)
        self.store.down = False
        for domain in list(self.checker.evacuated):
            self.end_evacuation(domain)
        deadline, served = time.monotonic() + RECOVERY_TIMEOUT_S, 0
        while time.monotonic() < deadline and served < 10:
            status = self.submit_job("%016x" % self.rng.getrandbits(60), 2, 30)
            served = served + 1 if status == 200 else 0
        if served < 10:
            self.checker.violations.append("fewer than 10 jobs in a row succeeded within %g s of the last fault" % RECOVERY_TIMEOUT_S)
        time.sleep(1.5)
        unfinished = [task for task, servers in self.checker.running.items() if servers]
        if unfinished:
            self.checker.violations.append("tasks still running after the last job: %s" % unfinished[:5])
        return results


def run_seed(seed, seconds, keep):
    with tempfile.TemporaryDirectory() as directory:
        soak = Soak(directory, seed)
        try:
            ready = soak.wait_ready()
            results = soak.run(seconds) if ready else []
            if not ready:
                soak.checker.violations.append("the processes did not become ready")
        finally:
            soak.stop_restarts()
            for child in soak.children.values():
                if child.poll() is None:
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                    child.wait()
            # The threads of the stand-ins would otherwise delay those of the next seeds.
            for standin in soak.servers + [soak.store]:
                standin.closed = True
                standin.http.shutdown()
                standin.http.server_close()
        succeeded = sum(1 for status in results if status == 200)
        print("seed %d: %d of %d jobs succeeded, %d starts, %s faults"
              % (seed, succeeded, len(results), soak.checker.starts, sum(soak.fault_counts.values())), flush=True)
        if results and succeeded == 0:
            soak.checker.violations.append("no job succeeded")
        for violation in soak.checker.violations:
            print("  violation: " + violation)
        if soak.checker.violations and keep:
            shutil.copytree(directory, os.path.join(keep, "seed-%d" % seed), dirs_exist_ok=True)
        return not soak.checker.violations, soak.fault_counts


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--keep", default="")
    args = parser.parse_args()
    failed_seeds, kinds = [], {}
    for seed in range(args.first, args.first + args.seeds):
        passed, fault_counts = run_seed(seed, args.seconds, args.keep)
        for kind, n in fault_counts.items():
            kinds[kind] = kinds.get(kind, 0) + n
        failed_seeds += [] if passed else [seed]
    print("faults by kind: " + ", ".join("%s %d" % row for row in sorted(kinds.items())))
    print("soak: %d seeds, %d with violations %s" % (args.seeds, len(failed_seeds), failed_seeds or ""))
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
