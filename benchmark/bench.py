#!/usr/bin/env python3
"""Benchmark with real processes on loopback; prints each figure with its target.

  - CPU usage of an idle entry and an idle agent.
  - Latency that the system adds to a request, beyond the run time at the backend server, with half of the slots in use.
  - Task starts per second for jobs of 2,000 empty tasks, and the CPU time per start at an entry and at an agent.

The environment variable JOBS_PER_SECOND sets the rate of these jobs, 15 by default.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))

from cluster import Cluster  # noqa: E402

SLOTS = 88


def print_row(name, value, unit, target, met):
    print("%-44s %10.3f %-4s target %-12s %s" % (name, value, unit, target, "met" if met else "MISSED"), flush=True)


def half_load(cluster):
    """Latency that the system adds to requests of 100 ms, at a rate that keeps half of the slots busy."""
    stream = {"name": "single", "member": "m", "kind": "k", "per_second": SLOTS / 2 / 0.1, "run": {"median_ms": 100}, "deadline_ms": 5000}
    report = cluster.load({"service": "pairing", "duration_s": 12, "warmup_s": 2, "slots": SLOTS, "streams": [stream]})["streams"]["single"]
    not_complete = report["failed"] + report["not_run"] + report["unknown"] + report["wrong"]
    print("half load: %d requests complete, %d not" % (report["complete"], not_complete))
    print_row("added latency p50", report["added_ms_p50"], "ms", "< 1", report["added_ms_p50"] < 1)
    print_row("added latency p99", report["added_ms_p99"], "ms", "< 3", report["added_ms_p99"] < 3)


def idle_usage(cluster):
    """CPU usage of entries and agents that only exchange heartbeats."""
    period_s = 5.0
    for name, children in (("entry", cluster.entries), ("agent", cluster.agents["pairing"])):
        before = cpu_seconds(cluster, children)
        time.sleep(period_s)
        percent = (cpu_seconds(cluster, children) - before) / len(children) / period_s * 100
        print_row("CPU usage while idle, %s" % name, percent, "%", "<= 1.5", percent <= 1.5)


def cpu_seconds(cluster, children):
    """CPU seconds that the processes have used so far."""
    return sum(cluster.metrics(child)["cuminscale_process_cpu_seconds_total"] for child in children)


def empty_tasks(cluster, jobs_per_second):
    """Task starts per second and CPU time per start, with jobs of 2,000 empty tasks."""
    agents = cluster.agents["pairing"]
    before = cpu_seconds(cluster, cluster.entries), cpu_seconds(cluster, agents)
    stream = {"name": "empty", "member": "m", "kind": "k", "per_second": jobs_per_second, "least_tasks": 2000, "most_tasks": 2000}
    stream.update({"run": {"median_ms": 0}, "deadline_ms": 60000})
    report = cluster.load({"service": "pairing", "duration_s": 8, "warmup_s": 0, "slots": SLOTS, "streams": [stream]})
    result = report["streams"]["empty"]
    starts = result["tasks_done"]
    rate = starts / report["elapsed_s"]
    entry_us = (cpu_seconds(cluster, cluster.entries) - before[0]) / max(starts, 1) * 1e6
    agent_us = (cpu_seconds(cluster, agents) - before[1]) / max(starts, 1) * 1e6
    print("empty tasks: %d jobs complete, %d not, %.1f s"
          % (result["complete"], result["failed"] + result["not_run"] + result["unknown"] + result["wrong"], report["elapsed_s"]))
    print_row("task starts per second, all agents", rate, "1/s", ">= 10000", rate >= 10000)
    print_row("CPU time of a start, entry", entry_us, "us", "<= 60", entry_us <= 60)
    print("%-44s %10.3f us" % ("CPU time of a start, agent", agent_us))


def main():
    with Cluster(entries=3, services={"pairing": 11}, report_time=True) as cluster:
        cluster.wait_ready()
        idle_usage(cluster)
        half_load(cluster)
        empty_tasks(cluster, float(os.environ.get("JOBS_PER_SECOND", "15")))
    return 0


if __name__ == "__main__":
    sys.exit(main())
