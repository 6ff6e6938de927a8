#!/usr/bin/env python3
"""Fault tests on real processes under load: kills, freezes, restarts, store outages and configuration conflicts.

Usage: faults.py [SCENARIO...]

After each scenario the outcomes that clients received are compared with the start logs of the backend servers. Each scenario prints its
counts and whether it passed; the last line counts the scenarios.
"""

import base64
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

from cluster import BUILD, Cluster, http

SERVICE = "pairing"


def load_mix(seconds, deadline_ms=15000):
    """Requests and jobs that use about half of 88 slots. None is repeatable, and a quarter of the jobs is submitted twice."""
    common = {"member": "m", "kind": "k", "deadline_ms": deadline_ms, "repeatable": False}
    run = {"median_ms": 60, "sigma": 0.5, "least_ms": 5, "most_ms": 400}
    streams = [
        {"name": "request", "per_second": 150, "run": run, **common},
        {"name": "job", "per_second": 8, "least_tasks": 5, "most_tasks": 120, "run": run, **common},
    ]
    return {"service": SERVICE, "duration_s": seconds, "warmup_s": 0, "seed": 7, "resubmit": 0.25, "streams": streams}


class ScenarioResult:
    """What clients and backend servers counted in one scenario."""

    def __init__(self, cluster, report):
        self.reasons = report["reasons"]
        self.totals = {key: sum(s[key] for s in report["streams"].values())
                       for key in ("complete", "failed", "not_run", "unknown", "wrong")}
        control = cluster.backends[SERVICE].info["control"]
        echoes = json.loads(http("GET", control, "/echoes")[2])
        self.starts = cluster.starts(SERVICE)
        # Nothing in the mix is repeatable, so no task and no payload may start twice.
        self.double_starts = self.starts["doubled"] + sum(1 for n in echoes.values() if n > 1)
        started = {echo.split(".")[0] for echo in echoes}
        self.false_not_run = sum(1 for index in report["not_run_arrivals"] if str(index) in started)

    def guarantees_held(self):
        """No double start, no start of anything reported as not run, no wrong result."""
        return self.double_starts == 0 and self.false_not_run == 0 and self.totals["wrong"] == 0

    def all_completed(self):
        """As guarantees_held(), and every request and job was completed."""
        return self.guarantees_held() and self.totals["failed"] == self.totals["not_run"] == self.totals["unknown"] == 0

    def __str__(self):
        text = "%s, starts %d, double starts %d, started although reported as not run %d" % (
            self.totals, self.starts["total"], self.double_starts, self.false_not_run)
        return text + "".join("\n    %5d  %s" % (n, reason) for reason, n in self.reasons.items())


def run_under_load(cluster, seconds, inject_faults):
    """Runs the load for `seconds` and calls inject_faults() 2 s after its start."""
    load = cluster.start_load(load_mix(seconds))
    time.sleep(2)
    try:
        inject_faults()
    finally:
        report = cluster.finish_load(load)
    return ScenarioResult(cluster, report)


def kills(cluster):
    """Three agents and an entry, one after the other, are ended by SIGKILL and restarted."""

    def inject_faults():
        for agent in list(cluster.agents[SERVICE])[:3]:
            cluster.restart(agent)
            time.sleep(1)
        cluster.restart(cluster.entries[1])
        time.sleep(1)

    result = run_under_load(cluster, 10, inject_faults)
    print("SIGKILL to 3 agents and an entry:", result)
    return result.guarantees_held()


def freezes(cluster):
    """Agents, an entry and the backend servers are stopped by SIGSTOP and continued after some seconds."""

    def inject_faults():
        for child, seconds in ((cluster.agents[SERVICE][0], 3), (cluster.entries[0], 2), (cluster.agents[SERVICE][1], 9),
                               (cluster.backends[SERVICE], 1.5)):
            child.signal(signal.SIGSTOP)
            time.sleep(seconds)
            child.signal(signal.SIGCONT)
            time.sleep(0.5)

    result = run_under_load(cluster, 18, inject_faults)
    print("SIGSTOP to agents for 3 s and 9 s, to an entry for 2 s, to the backend servers for 1.5 s:", result)
    return result.guarantees_held()


def rolling_restart(cluster):
    """Every agent and entry is restarted by SIGTERM; no request or job may fail."""
    codes = []

    def inject_faults():
        for child in list(cluster.agents[SERVICE]) + list(cluster.entries):
            codes.append(cluster.restart(child, "term"))
            time.sleep(1.2)

    result = run_under_load(cluster, 70, inject_faults)
    print("rolling restart of every process:", result, "exit codes", sorted(set(codes), key=str))
    return result.all_completed() and set(codes) == {0}


def backend_leaves(cluster):
    """A draining backend server gets no starts after 3 s, and nothing fails when another stops announcing itself."""

    def inject_faults():
        http("POST", cluster.backends[SERVICE].info["control"], "/mode/0/leaving")
        http("POST", cluster.backends[SERVICE].info["control"], "/mode/1/silent")
        time.sleep(6)
        for index in (0, 1):
            http("POST", cluster.backends[SERVICE].info["control"], "/mode/%d/ok" % index)

    result = run_under_load(cluster, 9, inject_faults)
    late_starts = result.starts["after_leaving"]
    print("one backend server drains, one stops announcing itself:", result, "starts more than 3 s later:", late_starts)
    return result.all_completed() and late_starts == 0


def store_outage(cluster):
    """Requests and jobs are unaffected while the store is unavailable or slow."""
    control = cluster.store.info["store"]

    def calls():
        return json.loads(http("GET", control, "/")[2])["calls"]

    before = calls()
    time.sleep(5)
    idle_rate = (calls() - before) / 5.0
    rates = {}

    def inject_faults():
        http("POST", control, "/control", '{"mode": "down"}')
        start = calls()
        time.sleep(6)
        rates["down"] = (calls() - start) / 6.0
        http("POST", control, "/control", '{"mode": "slow", "delay_ms": 700}')
        time.sleep(3)
        http("POST", control, "/control", '{"mode": "up"}')

    result = run_under_load(cluster, 12, inject_faults)
    print("store unavailable for 6 s, then slow for 3 s:", result)
    print("store calls per second of 3 entries: %.1f while idle, %.1f during the outage" % (idle_rate, rates["down"]))
    return result.all_completed()


def operators_race(cluster):
    """Of two changes on the same base revision one is accepted; a change whose store response is lost is applied once."""
    control = cluster.store.info["store"]
    directory = cluster.directory
    paths = []
    for i in range(2):
        path = os.path.join(directory, "race-%d.json" % i)
        with open(path, "w") as file:
            json.dump({"services": {SERVICE: {"kinds": {"k": {"urgency": i}}}}}, file)
        paths.append(path)
    ok = cluster.cli("apply", paths[0], "--wait", "--change", "first").returncode == 0
    base = json.loads(cluster.cli("show", "--json").stdout)["revision"]
    outcomes = []

    def apply(path):
        outcomes.append(cluster.cli("apply", path, "--base", str(base)).returncode)

    threads = [threading.Thread(target=apply, args=(path,)) for path in paths]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    http("POST", control, "/control", '{"mode": "lose"}')
    lost = cluster.cli("apply", paths[1], "--wait")
    http("POST", control, "/control", '{"mode": "up"}')
    shown = json.loads(cluster.cli("show", "--json").stdout)
    # Repeating an accepted change is reported as accepted, also after later changes and with any base revision. A new change on an outdated
    # base revision is a conflict: exit code 5.
    ok = ok and cluster.cli("apply", paths[0], "--base", "0", "--change", "first").returncode == 0
    ok = ok and cluster.cli("apply", paths[0], "--base", "0", "--change", "never").returncode == 5
    empty_file_code = cluster.cli("apply", "/dev/null").returncode
    print("two concurrent changes: exit codes", sorted(outcomes), "| lost response:", lost.returncode,
          lost.stdout.strip().replace("\n", "; "), "| revision", shown["revision"], "| empty file:", empty_file_code)
    return ok and sorted(outcomes) == [0, 5] and lost.returncode == 0 and shown["revision"] == base + 2 and empty_file_code == 2


def restored_store(cluster):
    """No process returns to an older configuration when the store is restored from a snapshot."""
    control = cluster.store.info["store"]
    path = os.path.join(cluster.directory, "race-0.json")
    http("POST", control, "/control", '{"snapshot": true}')
    cluster.cli("apply", path, "--wait")
    newer = json.loads(cluster.cli("show", "--json").stdout)["revision"]
    http("POST", control, "/control", '{"restore": true}')
    time.sleep(3)
    http("POST", control, "/control", '{"mode": "down"}')
    cluster.restart(cluster.entries[2])
    time.sleep(3)
    lowest = newer
    for child in cluster.entries + cluster.agents[SERVICE]:
        lowest = min(lowest, cluster.status(child)["revision"])
    http("POST", control, "/control", '{"mode": "up"}')
    print("store restored from a snapshot, then down while an entry restarts: newest revision", newer,
          "lowest in use", lowest)
    return lowest == newer


class Relay(threading.Thread):
    """TCP relay to a target. freeze() stops forwarding on the connections that are open, without closing them; new ones work."""

    def __init__(self, target):
        super().__init__(daemon=True)
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.generation = 0
        self.start()

    def freeze(self):
        self.generation += 1

    def run(self):
        while True:
            client, _ = self.listener.accept()
            host, port = self.target.split(":")
            upstream = socket.create_connection((host, int(port)))
            for source, sink in ((client, upstream), (upstream, client)):
                threading.Thread(target=self.forward, args=(source, sink, self.generation), daemon=True).start()

    def forward(self, source, sink, generation):
        try:
            while True:
                data = source.recv(65536)
                if generation != self.generation:
                    time.sleep(3600)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            return


def silent_store_connections(cluster):
    """A single entry whose store connections stop delivering data, without closing, applies a new configuration within 3 s."""
    relay = Relay(cluster.store.info["store"])
    settings = {"role": "entry", "failure_domain": "x", "peer": {}, "http": {}, "store": {"endpoints": [relay.address]}}
    for entry in list(cluster.entries):
        entry.stop()
    only_entry = cluster.start_daemon("entry-relay", settings)
    time.sleep(2)
    relay.freeze()
    old_revision = cluster.status(only_entry)["revision"]
    value = json.dumps({"revision": old_revision + 1, "change_id": "by-hand", "document": "{}"})
    key, text = (base64.b64encode(t.encode()).decode() for t in ("/cuminscale/config", value))
    http("POST", cluster.store.info["store"], "/v3/kv/put", json.dumps({"key": key, "value": text}))
    write_time = time.monotonic()
    while cluster.status(only_entry)["revision"] <= old_revision and time.monotonic() - write_time < 20:
        time.sleep(0.02)
    elapsed_s = time.monotonic() - write_time
    print("store connections without data: new configuration applied after %.2f s" % elapsed_s)
    return elapsed_s < 3


SCENARIOS = [kills, freezes, backend_leaves, rolling_restart, store_outage, operators_race, restored_store, silent_store_connections]


def main():
    selected = sys.argv[1:]
    passed = failed = 0
    # Each of the first five scenarios gets new processes; the others share one cluster.
    for group in ([s] for s in SCENARIOS[:5]):
        passed, failed = run_group(group, selected, passed, failed)
    passed, failed = run_group(SCENARIOS[5:], selected, passed, failed)
    print("%d passed, %d failed" % (passed, failed))
    return 1 if failed else 0


def run_group(group, selected, passed, failed):
    """Runs the scenarios of a group one after the other on the same processes."""
    group = [s for s in group if not selected or s.__name__ in selected]
    if not group:
        return passed, failed
    with Cluster(entries=3, services={SERVICE: 11}, report_time=True) as cluster:
        cluster.wait_ready()
        for scenario in group:
            ok = scenario(cluster)
            print("  %s: %s" % (scenario.__name__, "passed" if ok else "FAILED"), flush=True)
            passed, failed = passed + (1 if ok else 0), failed + (0 if ok else 1)
    return passed, failed


if __name__ == "__main__":
    sys.exit(main())
