"""Stand-in executors, all in one process. Started by harness2.py with a JSON object as argument; writes one line for each event.

A task works for the `run_ms` that its spec names. As PROTOCOL.md has it: a lease on the executor's own clock ends everything that
runs, lower fencing tokens are rejected, and so are runs that are not higher than one that was stopped or has ended, and other boots.
"""

import asyncio
import json
import os
import sys
import time

MAX_HOLD_MS = 1000
STOP_S = 0.02  # at most stop_grace_ms


def say(text):
    sys.stdout.write("%.4f %s\n" % (time.monotonic(), text))
    sys.stdout.flush()


class Executor:
    def __init__(self, fleet, name, host, app, agent, cpu, heartbeat_s):
        self.fleet, self.name, self.host, self.app, self.agent, self.cpu, self.heartbeat_s = fleet, name, host, app, agent, cpu, heartbeat_s
        self.id, self.born, self.origin = "i-" + name, int(time.time() * 1000), time.monotonic() - 1.0
        self.sequence = self.token = self.ends = self.lease = 0
        self.running, self.highest, self.finished = {}, {}, []
        self.ended = asyncio.Event()

    async def open(self):
        await asyncio.start_server(self.serve, self.host, self.app, backlog=128)
        self.tasks = [asyncio.create_task(self.announce()), asyncio.create_task(self.enforce())]

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def announce(self):
        host, port = self.agent.split(":")
        while True:
            self.sequence += 1
            body = json.dumps({
                "service": self.fleet["service"], "address": "%s:%d" % (self.host, self.app), "zone": "cairo-a", "version": "v1", "slots": 8,
                "state": "ready", "cold_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": ["a", "r1-1"],
                "clock_ms": self.clock(), "seq": self.sequence, "born": self.born}).encode()
            delay = 0.1
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                writer.write(b"PUT /instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (self.id.encode(), self.agent.encode(), len(body), body))
                if (await asyncio.wait_for(reader.readline(), 1)).split()[1:2] == [b"200"]:
                    delay = self.heartbeat_s
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(delay)

    async def enforce(self):
        while True:
            await asyncio.sleep(0.003)
            self.lapse()

    def lapse(self):
        if self.running and self.clock() > self.lease:
            for task, run in list(self.running.items()):
                self.end(task, run, "lapsed")

    def hold(self, deadline):
        self.lapse()
        self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))

    def end(self, task, run, how):
        if self.running.get(task) == run:
            del self.running[task]
            self.highest[task] = max(self.highest.get(task, 0), run)
            self.ends += 1
            self.finished.append([self.ends, task, run, how, ""])
            say("end %s %s %d %s" % (self.name, task, run, how))
            self.ended.set()
            self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in head[1:]) if key}
                body = json.loads(await reader.readexactly(int(headers.get("content-length", "0"))) or "{}")
                status, answer = await self.handle(head[0].split()[1], body, headers)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (status, len(data), data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def handle(self, path, body, headers):
        self.lapse()
        answer = {"clock_ms": self.clock(), "born": self.born}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, answer
        if body.get("fencing_token", 0) < self.token:
            return 409, dict(answer, reason="fence")
        self.token = body.get("fencing_token", 0)
        if path == "/run-start":
            return self.start(body, answer)
        if path == "/run-stop":
            task, run = body["task"], body["run_id"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            asyncio.get_running_loop().call_later(STOP_S, self.end, task, run, "stopped")
            return 200, answer
        if path == "/hold":
            self.finished = [end for end in self.finished if end[0] > body.get("last_seen", 0)]
            self.hold(body.get("deadline_ms", 0))
            if not self.finished and body.get("wait_ms", 0):
                try:
                    await asyncio.wait_for(self.ended.wait(), body["wait_ms"] / 1000.0)
                except asyncio.TimeoutError:
                    pass
            return 200, {"clock_ms": self.clock(), "born": self.born, "finished": self.finished[:500],
                         "running": [[task, run, "", 100, 0] for task, run in self.running.items()]}
        return 404, answer

    def start(self, body, answer):
        task, run = body["task"], body["run_id"]
        if body["deadline_ms"] <= self.clock():
            return 409, dict(answer, reason="late")
        self.hold(body["deadline_ms"])
        if self.running.get(task) == run:
            return 200, answer
        if run <= self.highest.get(task, 0) or task in self.running:
            return 409, dict(answer, reason="old")
        self.running[task] = run
        say("start %s %s %d" % (self.name, task, run))
        for other in self.fleet["all"]:
            other.lapse()
            if other is not self and task in other.running:
                say("TWICE %s runs on %s since before and starts on %s" % (task, other.name, self.name))
        asyncio.get_running_loop().call_later(json.loads(body["spec"])["run_ms"] / 1000.0, self.end, task, run, "done")
        return 200, answer


async def main(fleet):
    fleet["all"] = [Executor(fleet, each["name"], each["host"], fleet["app"], each["agent"], fleet["cpu"], fleet["heartbeat_s"])
                    for each in fleet["executors"]]
    for executor in fleet["all"]:
        await executor.open()
    say("open")
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await reader.read()  # ends with the process that started it
    os._exit(0)


asyncio.run(main(json.loads(sys.argv[1])))
