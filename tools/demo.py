#!/usr/bin/env python3
"""Demo with real processes: apply a configuration, send a request, show its trace, submit a job, and submit it again."""

import json
import os
import sys

from cluster import ROOT, Cluster, http


def merged_config(directory):
    """Merges the two sample configurations into one document, as one cluster serves both services here; returns its path."""
    services = {}
    for name in ("nile", "karri"):
        with open(os.path.join(ROOT, "settings", name + ".config.json")) as file:
            lines = [line for line in file if not line.lstrip().startswith("//")]
        services.update(json.loads("".join(lines))["services"])
    path = os.path.join(directory, "both.config.json")
    with open(path, "w") as file:
        json.dump({"services": services}, file, indent=2)
    return path


def run(cluster):
    cluster.wait_ready()
    print("== configuration")
    print(cluster.cli("apply", merged_config(cluster.directory), "--wait").stdout, end="")
    print(cluster.cli("status").stdout, end="")

    print("== a pairing request")
    trace = "4bf92f3577b34da6a3ce929d0e0e4736"
    body = {"member": "cairo-school", "kind": "match", "payload": json.dumps({"run_ms": 60, "echo": "learner 17 with tutor 4"})}
    code, headers, text = http("POST", cluster.caller_addresses()[0], "/v1/services/pairing/requests", json.dumps(body),
                               {"traceparent": "00-%s-00f067aa0ba902b7-01" % trace})
    print(code, headers.get("Cuminscale-Outcome"), text, end="")
    ok = code == 200

    print("== the trace of the request, one span for each hop")
    spans = cluster.cli("trace", trace).stdout
    print(spans, end="")
    ok = ok and all(hop in spans for hop in ("entry", "coordinator", "queue", "agent", "backend"))

    print("== a job of 200 tasks, then the same job submitted to another entry")
    tasks = [{"payload": json.dumps({"run_ms": 50, "echo": "sheet %d" % i}), "run_ms": 50} for i in range(200)]
    job = json.dumps({"member": "denmark-orienteers", "kind": "overprint", "tasks": tasks})
    _, _, id_response = http("POST", cluster.caller_addresses()[0], "/v1/services/map-ordering/ids?count=1")
    job_id = json.loads(id_response)["ids"][0]
    responses = []
    for entry in cluster.caller_addresses()[:2]:
        code, headers, text = http("PUT", entry, "/v1/services/map-ordering/jobs/" + job_id, job)
        responses.append(text)
        results = json.loads(text).get("results", [])
        print(code, headers.get("Cuminscale-Outcome"), "state", json.loads(text)["state"], "results", len(results),
              "first", results[0]["body"] if results else "", "last", results[-1]["body"] if results else "")
        ok = ok and code == 200 and [r["body"] for r in results] == ["sheet %d" % i for i in range(200)]
    starts = cluster.starts("map-ordering", job_id)
    print("task starts that the backend servers logged for this job:", sum(starts["tasks"].values()))
    return ok and responses[0] == responses[1] and sum(starts["tasks"].values()) == 200


def main():
    with Cluster(entries=3, services={"pairing": 6, "map-ordering": 5}) as cluster:
        ok = run(cluster)
    print("demo", "succeeded" if ok else "FAILED")
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
