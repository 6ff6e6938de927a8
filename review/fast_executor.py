"""An executor as a process of its own, for cases with thousands of tasks at a time.

Usage: fast_executor.py NAME APP_IP:PORT AGENT_IP:PORT CPU LOG. It follows the same rules as harness.Executor: fencing tokens, run numbers, start
deadlines, leases and ends. It writes each start and end to LOG, with the time of the machine's monotonic clock.
"""

import asyncio
import json
import sys
import time

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 1000
STOP_S = 0.02  # within stop_grace_ms (50)


class Executor:
    def __init__(self, name, agent, address, cpu, log):
        self.name, self.agent, self.address, self.cpu = name, agent, address, cpu
        self.id, self.born, self.origin = "i-" + name, int(time.time() * 1000), time.monotonic()
        self.running, self.highest, self.finished = {}, {}, []
        self.token = self.end_count = self.sequence = self.lease_end = 0
        self.ended = asyncio.Event()
        self.log = log

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000) + 1000

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock_ms() + MAX_HOLD_MS))

    def finish(self, task, run, how):
        if self.running.get(task) != run:
            return
        del self.running[task]
        self.end_count += 1
        self.finished.append([self.end_count, task, run, how, ""])
        self.log.write("%.6f end %s %s %d %s\n" % (time.monotonic(), self.name, task, run, how))
        self.ended.set()

    async def enforce_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock_ms() > self.lease_end:
                for task, run in list(self.running.items()):
                    self.finish(task, run, "lapsed")

    async def flush(self):
        while True:
            await asyncio.sleep(0.1)
            self.log.flush()

    async def report(self):
        while True:
            self.sequence += 1
            body = {"service": "mapdesk", "address": self.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": ["a", "r1-1"], "clock_ms": self.clock_ms(),
                    "seq": self.sequence, "born": self.born}
            data = json.dumps(body).encode()
            acknowledged = False
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.agent), 1.0)
                writer.write(b"PUT /instances/%s HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                             b"Connection: close\r\n\r\n" % (self.id.encode(), len(data)) + data)
                acknowledged = (await asyncio.wait_for(reader.readline(), 1.0)).startswith(b"HTTP/1.1 2")
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.1)

    async def answer(self, path, expected, body):
        if expected not in ("", self.id):
            return 421, {"clock_ms": self.clock_ms(), "born": self.born}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock_ms(), "born": self.born, "reason": "fence"}
        self.token = token
        if path == "/run-start":
            status, reason = self.start(body)
            answer = {"clock_ms": self.clock_ms(), "born": self.born}
            return status, dict(answer, reason=reason) if reason else answer
        if path == "/run-stop":
            task, run = body["task"], body["run_id"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            asyncio.get_running_loop().call_later(STOP_S, self.finish, task, run, "stopped")
            return 200, {"clock_ms": self.clock_ms(), "born": self.born}
        if path != "/hold":
            return 404, {}
        self.finished = [end for end in self.finished if end[0] > body.get("last_seen", 0)]
        self.extend(body.get("deadline_ms", 0))
        if not self.finished and body.get("wait_ms", 0):
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), min(body["wait_ms"], 2000) / 1000.0)
            except asyncio.TimeoutError:
                pass
        rows = [[task, run, "", 100, 0] for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": rows, "finished": self.finished[:500]}

    def start(self, body):
        task, run = body["task"], body["run_id"]
        if self.running.get(task) == run:
            return 200, None
        if run <= self.highest.get(task, 0):
            self.extend(body["deadline_ms"])
            return 409, "old"
        if body["deadline_ms"] <= self.clock_ms():
            return 409, "late"
        self.highest[task] = run
        self.running[task] = run
        self.extend(body["deadline_ms"])
        self.log.write("%.6f start %s %s %d\n" % (time.monotonic(), self.name, task, run))
        asyncio.get_running_loop().call_later(json.loads(body["spec"])["run_ms"] / 1000.0, self.finish, task, run, "done")
        return 200, None


class Channel(asyncio.Protocol):
    """One HTTP/1.1 channel from the agent; requests are answered in turn."""

    def __init__(self, executor):
        self.executor, self.buf, self.busy = executor, b"", False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buf += data
        if not self.busy:
            self.next_request()

    def next_request(self):
        end = self.buf.find(b"\r\n\r\n")
        if end < 0:
            return
        lines = self.buf[:end].decode().split("\r\n")
        headers = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
        length = int(headers.get("content-length", 0))
        if len(self.buf) < end + 4 + length:
            return
        body = self.buf[end + 4:end + 4 + length]
        self.buf = self.buf[end + 4 + length:]
        self.busy = True
        asyncio.ensure_future(self.serve(lines[0].split(" ")[1], headers.get("expect-instance", ""), json.loads(body) if body else {}))

    async def serve(self, path, expected, body):
        status, answer = await self.executor.answer(path, expected, body)
        data = json.dumps(answer).encode()
        if not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)
        self.busy = False
        self.next_request()


async def main():
    name, app, agent, cpu, log = sys.argv[1:6]
    host, port = app.split(":")
    agent_host, agent_port = agent.split(":")
    with open(log, "w", encoding="utf-8") as file:
        executor = Executor(name, (agent_host, int(agent_port)), app, int(cpu), file)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Channel(executor), host, int(port), backlog=256)
        async with server:
            await asyncio.gather(executor.enforce_lease(), executor.report(), executor.flush())


asyncio.run(main())
