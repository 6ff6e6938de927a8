#!/usr/bin/env python3
"""Measures how the costs of the control plane grow with 11, 33 and 99 agents, and extrapolates them to the target size.

The clusters consist of real processes. Prints a table: role, cost, measured values, slope, figure at the target size, limit, and whether
the limit is met.
"""

import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))

from cluster import ROOT, Cluster, http  # noqa: E402

SIZES = (11, 33, 99)
ENTRY_SIZES = (2, 4, 8)
LOAD_SIZES = (11, 33)
IDLE_PERIOD_S = 12.0
# Target size of a deployment.
AGENTS = 1700
ENTRIES = 42  # six in each of seven failure domains
ENTRIES_PER_AGENT = 3
STARTS_PER_S = 51000
CHANGES_PER_DAY = 3700
TEAMS = 71
DAY_S = 86400.0
AGENTS_PER_ENTRY = AGENTS * ENTRIES_PER_AGENT / ENTRIES
# Limits of one process, of the store, and of the time in which a change reaches every process.
MAX_IDLE_CPU_PERCENT = 1.5
MAX_MEMORY_MB = 256
MAX_CONTROL_BYTES_PER_S = 9000
MAX_STORE_CALLS_PER_S = 2000
MAX_PROPAGATION_S = 3


def print_row(role, cost, measured, slope, figure, limit, unit, within_limit=None):
    met = (figure <= limit) if within_limit is None else within_limit
    print("%-7s %-46s %-30s %-22s %10.2f %8g %-5s %s" % (role, cost, measured, slope, figure, limit, unit, "met" if met else "NOT MET"),
          flush=True)


def fit(points):
    """Fits a line by least squares; returns (offset, slope)."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    slope = sum((x - mx) * (y - my) for x, y in points) / sum((x - mx) ** 2 for x, _ in points)
    return my - slope * mx, slope


def totals(cluster, child):
    """Control bytes and messages, CPU seconds and store calls of a process so far, and its resident memory in MB."""
    m = cluster.metrics(child)
    names = ('cuminscale_peer_bytes_total{class="control",direction="%s"}',
             'cuminscale_peer_messages_total{class="control",direction="%s"}')
    byte, message = (sum(m[name % d] for d in ("sent", "received")) for name in names)
    return {"bytes": byte, "messages": message, "cpu": m["cuminscale_process_cpu_seconds_total"],
            "mb": m["cuminscale_process_resident_bytes"] / 1e6, "store": m["cuminscale_store_calls_total"]}


def idle_rates(cluster, agents=True):
    """Mean rates per second, and mean memory, of the idle entries and of up to three idle agents."""
    result = {}
    groups = [("entry", cluster.entries)] + ([("agent", cluster.agents["pairing"][:3])] if agents else [])
    for role, children in groups:
        before = [totals(cluster, c) for c in children]
        start = time.monotonic()
        time.sleep(IDLE_PERIOD_S)
        after = [totals(cluster, c) for c in children]
        elapsed_s = time.monotonic() - start
        n = len(children)
        result[role] = {key: sum(a[key] - b[key] for a, b in zip(after, before)) / n / elapsed_s
                        for key in ("bytes", "messages", "cpu", "store")}
        result[role]["mb"] = sum(a["mb"] for a in after) / n
    return result


def propagation_time(cluster):
    """Seconds until an entry and all agents report a configuration change (20 at most), and the size of the document in bytes."""
    document = {"services": {"pairing": {"kinds": {"k": {"urgency": int(time.time()) % 9}},
                                         "members": {"team-%d" % i: {"share": 0.01, "cap": 1.0} for i in range(TEAMS)}}}}
    text = json.dumps(document)
    old_revision = json.loads(http("GET", cluster.operator_addresses()[0], "/v1/config")[2])["revision"]
    start = time.monotonic()
    http("PUT", cluster.operator_addresses()[0], "/v1/config?base=%d&change=spread-%d" % (old_revision, time.monotonic_ns()), text)
    while True:
        state = cluster.status(cluster.entries[1])
        revisions = [a["revision"] for a in state["agents"]] + [state["revision"]]
        if min(revisions) > old_revision or time.monotonic() - start > 20:
            return time.monotonic() - start, len(text)
        time.sleep(0.01)


def record_memory(cluster):
    """Number of requests that were completed, and the memory in bytes by which the agents grew for each."""
    agents = cluster.agents["pairing"]
    before = sum(totals(cluster, a)["mb"] for a in agents)
    stream = {"name": "r", "member": "team-0", "kind": "k", "per_second": 2500, "run": {"median_ms": 0}, "deadline_ms": 10000}
    report = cluster.load({"service": "pairing", "duration_s": 10, "warmup_s": 0, "slots": 88, "streams": [stream]})["streams"]["r"]
    after = sum(totals(cluster, a)["mb"] for a in agents)
    return report["complete"], (after - before) * 1e6 / max(report["complete"], 1)


def start_cost(cluster, size):
    """CPU time per task start in us at entries and at agents, and the increase of the agents' counters of starts and messages."""
    names = ("tasks_started", "offers_sent", "claims_sent", "empty_grants", "work_messages_sent")

    def counted():
        out = {n: 0 for n in names}
        for child in cluster.agents["pairing"]:
            m = cluster.metrics(child)
            for n in names:
                out[n] += m["cuminscale_%s_total" % n]
        return out

    cpu = [sum(totals(cluster, c)["cpu"] for c in group) for group in (cluster.entries, cluster.agents["pairing"])]
    before = counted()
    stream = {"name": "j", "member": "team-0", "kind": "k", "per_second": size * 0.6, "least_tasks": 10, "most_tasks": 2000,
              "run": {"median_ms": 10}}
    cluster.load({"service": "pairing", "duration_s": 10, "warmup_s": 0, "slots": size * 8, "streams": [{**stream, "deadline_ms": 60000}]})
    cpu_used = [sum(totals(cluster, c)["cpu"] for c in group) - b for group, b in zip((cluster.entries, cluster.agents["pairing"]), cpu)]
    delta = {n: v - before[n] for n, v in counted().items()}
    starts = max(delta["tasks_started"], 1)
    return [u / starts * 1e6 for u in cpu_used], delta


def main():
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True).stdout.strip()
    print("commit %s; target size: %d agents, %d entries, %d starts/s" % (commit, AGENTS, ENTRIES, STARTS_PER_S))
    print("%-7s %-46s %-30s %-22s %10s %8s" % ("role", "cost", "measured", "slope", "figure", "limit"))
    idle, propagation_times, entry_bytes, record_costs, start_costs = {}, {}, {}, {}, {}
    for n in ENTRY_SIZES:
        with Cluster(entries=n, services={}) as cluster:
            time.sleep(4)
            entry_bytes[n] = idle_rates(cluster, agents=False)["entry"]["bytes"]
    for size in SIZES:
        with Cluster(entries=3, services={"pairing": size}, report_time=True) as cluster:
            cluster.wait_ready(30)
            time.sleep(2)
            idle[size] = idle_rates(cluster)
            propagation_times[size], document_bytes = propagation_time(cluster)
            if size in LOAD_SIZES:
                record_costs[size] = record_memory(cluster)
                start_costs[size] = start_cost(cluster, size)

    def slope(role, key, scale=1.0):
        points = [(size, idle[size][role][key] * scale) for size in SIZES]
        return "/".join("%.2f" % y for _, y in points), *fit(points)

    measured, base, per_agent = slope("entry", "bytes")
    agents_part, entries_part = 0.6 * MAX_CONTROL_BYTES_PER_S, 0.2 * MAX_CONTROL_BYTES_PER_S
    print_row("entry", "control bytes/s, attached agents", measured, "limited to 60%",
              max(agents_part, idle[SIZES[-1]]["entry"]["bytes"]), MAX_CONTROL_BYTES_PER_S, "B/s")
    measured = "/".join("%.0f" % entry_bytes[n] for n in ENTRY_SIZES)
    print_row("entry", "control bytes/s, other entries", measured + " at 2/4/8", "limited to 20%",
              max(entries_part, entry_bytes[ENTRY_SIZES[-1]]), MAX_CONTROL_BYTES_PER_S, "B/s")
    push_bytes_per_s = document_bytes * AGENTS_PER_ENTRY * CHANGES_PER_DAY / DAY_S
    print_row("entry", "bytes/s of changes, full document pushed", "%d B, %d teams" % (document_bytes, TEAMS), "to each agent",
              push_bytes_per_s, MAX_CONTROL_BYTES_PER_S, "B/s")
    print_row("entry", "control bytes/s, total", "sum of the three", "", agents_part + entries_part + push_bytes_per_s,
              MAX_CONTROL_BYTES_PER_S, "B/s")
    measured, base, per_agent = slope("entry", "cpu", 100)
    print_row("entry", "CPU while idle, attached agents", measured, "%.4f%% each" % per_agent, base + per_agent * AGENTS_PER_ENTRY,
              MAX_IDLE_CPU_PERCENT, "%")
    measured, base, per_agent = slope("entry", "mb")
    print_row("entry", "memory while idle, attached agents", measured, "%.3f MB each" % per_agent, base + per_agent * AGENTS_PER_ENTRY,
              MAX_MEMORY_MB, "MB")
    start_cpu_us = [start_costs[n][0] for n in LOAD_SIZES]
    measured = "/".join("%.1f" % us[0] for us in start_cpu_us) + " us at 11/33"
    print_row("entry", "CPU for starts, share of a core", measured, "each start", start_cpu_us[-1][0] * STARTS_PER_S / ENTRIES / 1e4, 100,
              "%")
    measured, base, per_agent = slope("agent", "bytes")
    print_row("agent", "control bytes/s, agents in the cluster", measured, "%.1f each" % per_agent, idle[SIZES[-1]]["agent"]["bytes"],
              MAX_CONTROL_BYTES_PER_S, "B/s")
    measured, base, per_agent = slope("agent", "cpu", 100)
    print_row("agent", "CPU while idle, agents in the cluster", measured, "%.4f%% each" % per_agent,
              idle[SIZES[-1]]["agent"]["cpu"] * 100, MAX_IDLE_CPU_PERCENT, "%")
    measured = "/".join("%.1f" % us[1] for us in start_cpu_us) + " us at 11/33"
    print_row("agent", "CPU for starts, share of a core", measured, "each start", start_cpu_us[-1][1] * STARTS_PER_S / AGENTS / 1e4, 100,
              "%")
    measured, base, per_agent = slope("agent", "mb")
    measured = "/".join("%.0f" % record_costs[n][1] for n in LOAD_SIZES) + " B at 11/33"
    record_mb = max(record_costs[n][1] for n in LOAD_SIZES) * STARTS_PER_S / AGENTS * 600 / 1e6
    print_row("agent", "memory: idle, and records of 600 s", measured, "each record", base + record_mb, MAX_MEMORY_MB, "MB")
    calls = idle[SIZES[0]]["entry"]["store"]
    print_row("store", "calls/s, entries, while idle", "%.2f for one of 3" % calls, "each entry", calls * ENTRIES, MAX_STORE_CALLS_PER_S,
              "1/s")
    print_row("store", "calls/s for configuration changes", "2 calls per change", "", 2 * CHANGES_PER_DAY / DAY_S, MAX_STORE_CALLS_PER_S,
              "1/s")
    print_row("system", "time until a change is applied everywhere", "/".join("%.2f" % propagation_times[s] for s in SIZES), "s",
              max(propagation_times.values()), MAX_PROPAGATION_S, "s")
    delta = start_costs[LOAD_SIZES[-1]][1]
    starts = delta["tasks_started"]
    extra = delta["offers_sent"] + delta["claims_sent"] + delta["empty_grants"]
    print("messages of agents per start: %.3f with late binding; %.3f without its offers, claims and empty grants (%d starts)"
          % (delta["work_messages_sent"] / starts, (delta["work_messages_sent"] - extra) / starts, starts))
    return 0


if __name__ == "__main__":
    sys.exit(main())
