#!/usr/bin/env python3
"""Measures how the cost of control grows, at 11, 33 and 99 agents with real processes, and works it out for the letter's size.

Prints a table: role, what grows, measured at, slope, figure at the letter's size, limit, met or not.
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
REST_S = 12.0
# The letter's size.
WORKERS = 1700
ENTRIES = 42  # six in each of seven failure domains
ATTACH = 3
STARTS = 51000
CHANGES_PER_DAY = 3700
TEAMS = 71
DAY_S = 86400.0
ATTACHED = WORKERS * ATTACH / ENTRIES
# Limits of a node, and of the store.
MAX_CORE = 1.5
MAX_MB = 256
MAX_BYTES = 9000
MAX_READS = 2000
MAX_SPREAD_S = 3


def row(role, grows, at, slope, figure, limit, unit, fits=None):
    met = (figure <= limit) if fits is None else fits
    print("%-7s %-46s %-30s %-22s %10.2f %8g %-5s %s" % (role, grows, at, slope, figure, limit, unit, "met" if met else "NOT MET"), flush=True)


def fit(points):
    """Least squares: returns (offset, slope)."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    slope = sum((x - mx) * (y - my) for x, y in points) / sum((x - mx) ** 2 for x, _ in points)
    return my - slope * mx, slope


def totals(cluster, child):
    m = cluster.metrics(child)
    names = ('cuminscale_peer_bytes_total{class="control",direction="%s"}', 'cuminscale_peer_messages_total{class="control",direction="%s"}')
    byte, message = (sum(m[name % d] for d in ("sent", "received")) for name in names)
    return {"bytes": byte, "messages": message, "cpu": m["cuminscale_process_cpu_seconds_total"],
            "mb": m["cuminscale_process_resident_bytes"] / 1e6, "store": m["cuminscale_store_calls_total"]}


def at_rest(cluster, agents=True):
    """Rates of one entry and one agent, each the mean of up to three."""
    result = {}
    groups = [("entry", cluster.entries)] + ([("agent", cluster.agents["pairing"][:3])] if agents else [])
    for role, children in groups:
        before = [totals(cluster, c) for c in children]
        start = time.monotonic()
        time.sleep(REST_S)
        after = [totals(cluster, c) for c in children]
        took = time.monotonic() - start
        n = len(children)
        result[role] = {key: sum(a[key] - b[key] for a, b in zip(after, before)) / n / took for key in ("bytes", "messages", "cpu", "store")}
        result[role]["mb"] = sum(a["mb"] for a in after) / n
    return result


def spread(cluster):
    """How long a change takes until every process reports it, in seconds, by polling each process."""
    document = {"services": {"pairing": {"kinds": {"k": {"urgency": int(time.time()) % 9}},
                                         "members": {"team-%d" % i: {"share": 0.01, "cap": 1.0} for i in range(TEAMS)}}}}
    text = json.dumps(document)
    held = json.loads(http("GET", cluster.operators()[0], "/v1/config")[2])["revision"]
    start = time.monotonic()
    http("PUT", cluster.operators()[0], "/v1/config?base=%d&change=spread-%d" % (held, time.monotonic_ns()), text)
    while True:
        state = cluster.status(cluster.entries[1])
        revisions = [a["revision"] for a in state["agents"]] + [state["revision"]]
        if min(revisions) > held or time.monotonic() - start > 20:
            return time.monotonic() - start, len(text)
        time.sleep(0.01)


def records(cluster):
    """Memory of an agent for one remembered submission, and control bytes apart from work for one start."""
    agents = cluster.agents["pairing"]
    before = sum(totals(cluster, a)["mb"] for a in agents)
    stream = {"name": "r", "member": "team-0", "kind": "k", "per_second": 2500, "run": {"median_ms": 0}, "deadline_ms": 10000}
    report = cluster.load({"service": "pairing", "duration_s": 10, "warmup_s": 0, "slots": 88, "streams": [stream]})["streams"]["r"]
    after = sum(totals(cluster, a)["mb"] for a in agents)
    return report["complete"], (after - before) * 1e6 / max(report["complete"], 1)


def starts_cost(cluster, size):
    """Processor time of a start in jobs, at an entry and an agent, and what late binding adds in messages."""
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
    stream = {"name": "j", "member": "team-0", "kind": "k", "per_second": size * 0.6, "least_tasks": 10, "most_tasks": 2000, "run": {"median_ms": 10}}
    cluster.load({"service": "pairing", "duration_s": 10, "warmup_s": 0, "slots": size * 8, "streams": [{**stream, "deadline_ms": 60000}]})
    used = [sum(totals(cluster, c)["cpu"] for c in group) - b for group, b in zip((cluster.entries, cluster.agents["pairing"]), cpu)]
    delta = {n: v - before[n] for n, v in counted().items()}
    starts = max(delta["tasks_started"], 1)
    return [u / starts * 1e6 for u in used], delta


def main():
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True).stdout.strip()
    print("commit %s; letter's size: %d workers, %d entries, %d starts/s" % (commit, WORKERS, ENTRIES, STARTS))
    print("%-7s %-46s %-30s %-22s %10s %8s" % ("role", "what grows", "measured at", "slope", "figure", "limit"))
    rest, spreads, among, kept, costs = {}, {}, {}, {}, {}
    for n in ENTRY_SIZES:
        with Cluster(entries=n, services={}) as cluster:
            time.sleep(4)
            among[n] = at_rest(cluster, agents=False)["entry"]["bytes"]
    for size in SIZES:
        with Cluster(entries=3, services={"pairing": size}, report_time=True) as cluster:
            cluster.wait_ready(30)
            time.sleep(2)
            rest[size] = at_rest(cluster)
            spreads[size], document = spread(cluster)
            if size in LOAD_SIZES:
                kept[size] = records(cluster)
                costs[size] = starts_cost(cluster, size)

    def slope(role, key, scale=1.0):
        points = [(size, rest[size][role][key] * scale) for size in SIZES]
        return "/".join("%.2f" % y for _, y in points), *fit(points)

    at, base, per = slope("entry", "bytes")
    agents_part, entries_part = 0.6 * MAX_BYTES, 0.2 * MAX_BYTES
    row("entry", "control bytes/s, agents attached", at, "paced to 60%", max(agents_part, rest[SIZES[-1]]["entry"]["bytes"]), MAX_BYTES, "B/s")
    at = "/".join("%.0f" % among[n] for n in ENTRY_SIZES)
    row("entry", "control bytes/s, other entries", at + " at 2/4/8", "paced to 20%", max(entries_part, among[ENTRY_SIZES[-1]]), MAX_BYTES, "B/s")
    push = document * ATTACHED * CHANGES_PER_DAY / DAY_S
    row("entry", "bytes/s of changes, whole document pushed", "%d B, %d teams" % (document, TEAMS), "to each agent", push, MAX_BYTES, "B/s")
    row("entry", "control bytes/s, all of it", "sum of the three", "", agents_part + entries_part + push, MAX_BYTES, "B/s")
    at, base, per = slope("entry", "cpu", 100)
    row("entry", "processor at rest, agents attached", at, "%.4f%% each" % per, base + per * ATTACHED, MAX_CORE, "%")
    at, base, per = slope("entry", "mb")
    row("entry", "memory at rest, agents attached", at, "%.3f MB each" % per, base + per * ATTACHED, MAX_MB, "MB")
    both = [costs[n][0] for n in LOAD_SIZES]
    at = "/".join("%.1f" % us[0] for us in both) + " us at 11/33"
    row("entry", "processor for starts, a core's part", at, "each start", both[-1][0] * STARTS / ENTRIES / 1e4, 100, "%")
    at, base, per = slope("agent", "bytes")
    row("agent", "control bytes/s, agents in the set", at, "%.1f each" % per, rest[SIZES[-1]]["agent"]["bytes"], MAX_BYTES, "B/s")
    at, base, per = slope("agent", "cpu", 100)
    row("agent", "processor at rest, agents in the set", at, "%.4f%% each" % per, rest[SIZES[-1]]["agent"]["cpu"] * 100, MAX_CORE, "%")
    at = "/".join("%.1f" % us[1] for us in both) + " us at 11/33"
    row("agent", "processor for starts, a core's part", at, "each start", both[-1][1] * STARTS / WORKERS / 1e4, 100, "%")
    at, base, per = slope("agent", "mb")
    at = "/".join("%.0f" % kept[n][1] for n in LOAD_SIZES) + " B at 11/33"
    most = max(kept[n][1] for n in LOAD_SIZES) * STARTS / WORKERS * 600 / 1e6
    row("agent", "memory: at rest, and 600 s of records", at, "each record", base + most, MAX_MB, "MB")
    calls = rest[SIZES[0]]["entry"]["store"]
    row("store", "calls/s, entries, at rest", "%.2f of one of 3" % calls, "each entry", calls * ENTRIES, MAX_READS, "1/s")
    row("store", "calls/s of operators' changes", "2 calls a change", "", 2 * CHANGES_PER_DAY / DAY_S, MAX_READS, "1/s")
    row("system", "a change in force everywhere", "/".join("%.2f" % spreads[s] for s in SIZES), "s", max(spreads.values()), MAX_SPREAD_S, "s")
    delta = costs[LOAD_SIZES[-1]][1]
    starts = delta["tasks_started"]
    extra = delta["offers_sent"] + delta["claims_sent"] + delta["empty_grants"]
    print("messages of agents for a start: %.3f with late binding; %.3f without its offers, claims and empty grants (%d starts)"
          % (delta["work_messages_sent"] / starts, (delta["work_messages_sent"] - extra) / starts, starts))
    return 0


if __name__ == "__main__":
    sys.exit(main())
