#!/usr/bin/env python3
"""Measures CPU time and wake-ups of each thread of an entry and an agent, to show what passing messages to ZeroMQ's I/O thread costs.

Usage: handovers.py [JOBS_PER_SECOND [SECONDS]]

Each job has two tasks of 20 ms. Figures are per job at the entry and per task at the agent; the usage while idle is subtracted.
"""

import os
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tools"))
from platform_demo import AGENTS, ENTRIES, Platform  # noqa: E402

TASKS_PER_JOB = 2
NS_PER_MS = 1e6


def thread_usage(pid):
    """(name, CPU time in ns, wake-ups) of each thread by thread id; wake-ups are counted as voluntary context switches."""
    found = {}
    for tid in os.listdir("/proc/%d/task" % pid):
        directory = "/proc/%d/task/%s/" % (pid, tid)
        with open(directory + "schedstat") as file:
            cpu_ns = int(file.read().split()[0])
        with open(directory + "status") as file:
            lines = dict(line.split(":\t", 1) for line in file if ":\t" in line)
        found[tid] = (lines["Name"].strip(), cpu_ns, int(lines["voluntary_ctxt_switches"]))
    return found


def usage_between(before, after):
    """(name, CPU time in ns, wake-ups) of each thread between two samples."""
    return [(after[tid][0], after[tid][1] - before.get(tid, ("", 0, 0))[1], after[tid][2] - before.get(tid, ("", 0, 0))[2])
            for tid in sorted(after, key=int)]


def submit_jobs(platform, rate, seconds):
    """Submits jobs at a steady rate to the entries in turn; returns the number of jobs that succeeded."""
    succeeded = [0]
    lock = threading.Lock()

    def submit(n):
        code, _, _ = platform.submit(n % len(ENTRIES), "%016x" % (0x1000 + n), TASKS_PER_JOB, 20)
        with lock:
            succeeded[0] += code == 200

    started, workers = time.monotonic(), []
    for n in range(int(rate * seconds)):
        time.sleep(max(0.0, started + n / rate - time.monotonic()))
        workers.append(threading.Thread(target=submit, args=(n,)))
        workers[-1].start()
    for worker in workers:
        worker.join()
    return succeeded[0]


def main():
    rate = float(sys.argv[1]) if len(sys.argv) > 1 else 100.0
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 8.0
    with tempfile.TemporaryDirectory() as directory:
        platform = Platform(directory)
        try:
            if not platform.wait_ready():
                print("The processes did not become ready.")
                return 1
            pids = {ip: platform.children[ip].pid for ip in (ENTRIES[0], AGENTS[0])}
            idle = {ip: thread_usage(pid) for ip, pid in pids.items()}
            time.sleep(seconds)
            before = {ip: thread_usage(pid) for ip, pid in pids.items()}
            jobs = submit_jobs(platform, rate, seconds)
            after = {ip: thread_usage(pid) for ip, pid in pids.items()}
            starts = len(platform.servers[0].starts)
        finally:
            platform.stop()
    print("%d of %d jobs succeeded" % (jobs, rate * seconds))
    print("%-8s %-16s %14s %14s %14s" % ("role", "thread", "ms/s idle", "ms per unit", "wake-ups/unit"))
    for ip, role, units in ((ENTRIES[0], "entry", jobs / len(ENTRIES)), (AGENTS[0], "agent", starts)):
        idle_usage = usage_between(idle[ip], before[ip])
        load_usage = usage_between(before[ip], after[ip])
        for (name, idle_ns, idle_wakes), (_, ns, wakes) in zip(idle_usage, load_usage):
            print("%-8s %-16s %14.2f %14.3f %14.1f" % (role, name, idle_ns / NS_PER_MS / seconds, (ns - idle_ns) / NS_PER_MS / units,
                                                       (wakes - idle_wakes) / units))
    print("A unit is a job at an entry and a task at an agent; usage while idle is subtracted.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
