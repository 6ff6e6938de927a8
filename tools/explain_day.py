#!/usr/bin/env python3
"""Explains why the worth of a day on the bench is below 1: a table of losses by cause, and a plot over time.

Usage: explain_day.py REPORT.json [--log DAY.log] [--plot DAY.png]

REPORT.json is what the bench writes with `--report`; `worth` and `price` are its terms. DAY.log is its output with `--log all`; each line
is "SECONDS PROCESS LINE". With the log, jobs that were refused, late or failed are counted by the reason that the entries logged. The
plot needs gnuplot.
"""

import argparse
import collections
import json
import re
import subprocess
import sys

WINDOW_S = 2
FIELD = re.compile(r"(\w+)=(\"[^\"]*\"|\S+)")
LOG_LINE = re.compile(r"^ *(-?\d+\.\d+) (\S+) (.*)$")


def fields(line):
    return {key: value.strip('"') for key, value in FIELD.findall(line)}


def read_log(path):
    """Yields (second, process, fields) for each structured log line."""
    with open(path, errors="replace") as file:
        for line in file:
            match = LOG_LINE.match(line)
            if match and "event=" in match.group(3):
                yield float(match.group(1)), match.group(2), fields(match.group(3))


def outcome_of(entry):
    """(outcome, reason) of a job that was refused, late or failed; None for a job that succeeded in time and for other events."""
    if entry.get("event") == "job-refused":
        return "refused", entry.get("reason", "?")
    if entry.get("event") != "job-ended":
        return None
    if entry.get("answer") == "succeeded":
        return ("late", "done") if entry.get("late") == "1" else None
    return entry.get("answer", "?"), entry.get("reason", "?")


def losses(log):
    """Counts losses by (queue, outcome, reason), losses by time window and outcome, and ended runs by (outcome, reason)."""
    by_reason, by_window, runs = collections.Counter(), collections.defaultdict(collections.Counter), collections.Counter()
    for second, _, entry in log:
        loss = outcome_of(entry)
        if loss:
            by_reason[(entry.get("queue", "-"),) + loss] += 1
            by_window[int(second // WINDOW_S * WINDOW_S)][loss[0]] += 1
        elif entry.get("event") == "run-over":
            runs[(entry.get("how", "?"), entry.get("reason", "?"))] += 1
    return by_reason, by_window, runs


def print_report(report):
    """Prints the parts of the day's worth, the highest prices, the classes of requests, and the time windows with the lowest worth."""
    parts = [(name, weight, value, weight * (1.0 - value)) for name, weight, value in report["parts"]]
    print("worth %.3f; loss by part and weight:" % report["G"])
    for name, weight, value, lost in sorted(parts, key=lambda row: -row[3]):
        print("  %-18s %.3f x %.2f  loses %.3f" % (name, value, weight, lost))
    for name, amount, price in sorted(report["prices"], key=lambda row: -row[2])[:6]:
        print("  price %-50s %10.2f  costs %.3f" % (name, amount, price))
    print("by class of request:")
    for row in report["classes"]:
        print("  %-20s requests %5d  late %4d  refused %4d  failed %4d  worth %.3f"
              % (row["name"], row["n"], row["late"], row["refused"], row["failed"], row["worth"]))
    print("time windows with the lowest worth:")
    requests = sum(row["n"] for row in report["windows"])
    for row in sorted(report["windows"], key=lambda row: row["worth"])[:6]:
        print("  from %3s s  requests %4d  late %3d  refused %3d  failed %3d  worth %.3f  loss of the day %.3f"
              % (row["name"], row["n"], row["late"], row["refused"], row["failed"], row["worth"],
                 (1.0 - row["worth"]) * row["n"] / requests))


def print_losses(by_reason, runs):
    print("by reason that the entries logged:")
    for (queue, outcome, reason), count in by_reason.most_common(12):
        print("  %-12s %-10s %-20s %5d" % (queue, outcome, reason, count))
    print("runs that ended without completing:")
    for (run_outcome, reason), count in runs.most_common(6):
        print("  %-14s %-14s %5d" % (run_outcome, reason, count))


def plot(report, by_window, path):
    """Plots the worth by time window, and below it the losses: those that the entries logged, or without a log those of the report."""
    rows = ["%s %g %d %d %d" % (row["name"], row["worth"], row["late"], row["refused"], row["failed"]) for row in report["windows"]]
    outcomes = sorted({label for window in by_window.values() for label in window})
    logged = ["%d %s" % (second, " ".join(str(by_window[second][label]) for label in outcomes)) for second in sorted(by_window)]
    script = ["set terminal pngcairo size 1000,700", "set output '%s'" % path, "set multiplot layout 2,1", "set xlabel 'second'",
              "set yrange [0:1]", "set ylabel 'worth'", "plot '-' using 1:2 with steps title 'worth of the requests in the window'"]
    script += rows + ["e", "set yrange [0:*]", "set ylabel 'requests'"]
    if logged:
        lines = ["'-' using 1:%d with linespoints title '%s'" % (i + 2, label) for i, label in enumerate(outcomes)]
        script += ["plot " + ", ".join(lines)] + (logged + ["e"]) * len(outcomes)
    else:
        lines = ["'-' using 1:%d with linespoints title '%s'" % (i + 3, label) for i, label in enumerate(("late", "refused", "failed"))]
        script += ["plot " + ", ".join(lines)] + (rows + ["e"]) * 3
    subprocess.run(["gnuplot"], input="\n".join(script) + "\n", text=True, check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("report")
    parser.add_argument("--log")
    parser.add_argument("--plot")
    args = parser.parse_args()
    with open(args.report) as file:
        report = json.load(file)
    print_report(report)
    by_reason, by_window, runs = losses(read_log(args.log)) if args.log else ({}, {}, None)
    if args.log:
        print_losses(by_reason, runs)
    if args.plot:
        plot(report, by_window, args.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
