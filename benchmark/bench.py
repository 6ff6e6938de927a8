#!/usr/bin/env python3
"""Two figures from the real processes on this machine, printed with their targets.

1. The time that the system adds to a request, over the backend server's own, at half load.
2. The highest rate of task starts with empty tasks in jobs of 2,000, and what a start costs an entry and an agent.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))

from cluster import Cluster  # noqa: E402

SLOTS = 88


def row(name, value, unit, target, met):
    print("%-44s %10.3f %-4s target %-12s %s" % (name, value, unit, target, "met" if met else "MISSED"), flush=True)


def half_load(cluster):
    """Requests of 100 ms that keep half of the slots busy."""
    stream = {"name": "single", "member": "m", "kind": "k", "per_second": SLOTS / 2 / 0.1, "run": {"median_ms": 100}, "deadline_ms": 5000}
    report = cluster.load({"service": "pairing", "duration_s": 12, "warmup_s": 2, "slots": SLOTS, "streams": [stream]})["streams"]["single"]
    bad = report["failed"] + report["not_run"] + report["unknown"] + report["wrong"]
    print("half load: %d complete, %d otherwise" % (report["complete"], bad))
    row("added time p50", report["added_ms_p50"], "ms", "< 1", report["added_ms_p50"] < 1)
    row("added time p99", report["added_ms_p99"], "ms", "< 3", report["added_ms_p99"] < 3)


def at_rest(cluster):
    """Processor time of an entry and of an agent that have nothing to do but heartbeats."""
    period = 5.0
    for name, children in (("entry", cluster.entries), ("agent", cluster.agents["pairing"])):
        before = cpu(cluster, children)
        time.sleep(period)
        percent = (cpu(cluster, children) - before) / len(children) / period * 100
        row("processor at rest, %s" % name, percent, "%", "<= 1.5", percent <= 1.5)


def cpu(cluster, children):
    return sum(cluster.metrics(child)["cuminscale_process_cpu_seconds_total"] for child in children)


def empty_tasks(cluster, jobs_per_second):
    """Jobs of 2,000 empty tasks for some seconds; the rate is what was completed over the time that it took."""
    agents = cluster.agents["pairing"]
    before = cpu(cluster, cluster.entries), cpu(cluster, agents)
    stream = {"name": "empty", "member": "m", "kind": "k", "per_second": jobs_per_second, "least_tasks": 2000, "most_tasks": 2000}
    stream.update({"run": {"median_ms": 0}, "deadline_ms": 60000})
    report = cluster.load({"service": "pairing", "duration_s": 8, "warmup_s": 0, "slots": SLOTS, "streams": [stream]})
    result = report["streams"]["empty"]
    starts = result["tasks_done"]
    rate = starts / report["elapsed_s"]
    entry_us = (cpu(cluster, cluster.entries) - before[0]) / max(starts, 1) * 1e6
    agent_us = (cpu(cluster, agents) - before[1]) / max(starts, 1) * 1e6
    print("empty tasks: %d jobs complete, %d otherwise, %.1f s" % (result["complete"], result["failed"] + result["not_run"] + result["unknown"] + result["wrong"], report["elapsed_s"]))
    row("task starts a second, whole set", rate, "1/s", ">= 10000", rate >= 10000)
    row("processor time of a start, entry", entry_us, "us", "<= 60", entry_us <= 60)
    print("%-44s %10.3f us" % ("processor time of a start, agent", agent_us))


def main():
    with Cluster(entries=3, services={"pairing": 11}, report_time=True) as cluster:
        cluster.wait_ready()
        at_rest(cluster)
        half_load(cluster)
        empty_tasks(cluster, float(os.environ.get("JOBS_PER_SECOND", "15")))
    return 0


if __name__ == "__main__":
    sys.exit(main())
