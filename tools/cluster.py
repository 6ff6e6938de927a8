"""Runs a small cluster of real processes on loopback for the demo, the benchmarks and the fault tests.

Each process binds to ports that the system assigns and prints its addresses as JSON on its first output line. Processes are ended only
through their own handles, never by name.
"""

import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("CUMINSCALE_BUILD", os.path.join(ROOT, "build"))
DOMAINS = ["domain-a", "domain-b", "domain-c"]


def http(method, address, path, body=None, headers=None, timeout=30.0):
    """Sends one request; returns (status, headers, text). Status 0 means that no response was received; text then holds the error."""
    data = None if body is None else (body if isinstance(body, bytes) else body.encode())
    request = urllib.request.Request("http://%s%s" % (address, path), data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()
    except OSError as error:
        return 0, {}, str(error)


class Child:
    """A child process; `info` holds the addresses that it printed on its first line."""

    def __init__(self, command, log_path):
        self.command = command
        self.log = open(log_path, "ab")
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log)
        self.info = json.loads(self.process.stdout.readline() or b"{}")
        if not self.info:
            raise RuntimeError("%s printed no addresses at start-up; see %s" % (command[0], log_path))

    def signal(self, number):
        self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None

    def stop(self, timeout=20.0):
        """Sends SIGTERM and waits; returns the exit code, or None if the process had to be killed after `timeout` seconds."""
        if self.alive():
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None
        finally:
            self.process.stdout.close()
            self.log.close()

    def kill(self):
        if self.alive():
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        self.log.close()


class Cluster:
    """A store stand-in, entries, and agents with their backend servers.

    `services` maps the name of each service to its number of agents. One stand-in process runs all backend servers of a service.
    """

    def __init__(self, entries=3, services=None, slots=8, settings=None, store=True, report_time=False):
        self.services = {"pairing": 11} if services is None else services
        self.settings = settings or {}
        self.slots = slots
        self.report_time = report_time
        self.directory = tempfile.mkdtemp(prefix="cuminscale-")
        self.children = []
        self.agents_started = 0
        self.entries = []
        try:
            self.start_processes(entries, store)
        except BaseException:
            self.stop()
            raise

    def start_processes(self, entries, store):
        self.store = self.spawn(["python3", os.path.join(ROOT, "tools/store_standin.py")], "store") if store else None
        for i in range(entries):
            self.entries.append(self.start_entry(i))
        self.agents = {name: [self.start_agent(i) for i in range(count)] for name, count in self.services.items()}
        self.backends = {name: self.start_backends(name) for name in self.services}

    def spawn(self, command, name):
        child = Child(command, os.path.join(self.directory, name + ".log"))
        self.children.append(child)
        return child

    def write_settings(self, name, settings):
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        return path

    def start_daemon(self, name, settings):
        for key, value in self.settings.items():
            settings.setdefault(key, value)
        path = self.write_settings(name, settings)
        return self.spawn([os.path.join(BUILD, "src/cuminscaled"), "--settings", path], name)

    def start_entry(self, index, peer="127.0.0.1:0", caller="127.0.0.1:0", operator="127.0.0.1:0"):
        settings = {
            "role": "entry",
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "peer": {"listen": peer, "entries": [e.info["peer"] for e in self.entries]},
            "http": {"caller_listen": caller, "operator_listen": operator},
        }
        if self.store:
            settings["store"] = {"endpoints": [self.store.info["store"]]}
        return self.start_daemon("entry-%d" % index, settings)

    def start_agent(self, index, peer="127.0.0.1:0", operator="127.0.0.1:0"):
        self.agents_started += 1
        settings = {
            "role": "agent",
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "peer": {"listen": peer, "entries": [e.info["peer"] for e in self.entries]},
            "http": {"operator_listen": operator},
        }
        return self.start_daemon("agent-%d" % self.agents_started, settings)

    def start_backends(self, service):
        agent_addresses = ",".join(agent.info["operator"] for agent in self.agents[service])
        command = [os.path.join(BUILD, "tools/cuminscale-backend-standin"), "--agents", agent_addresses, "--service", service]
        command += ["--slots", str(self.slots)] + (["--report_time"] if self.report_time else [])
        return self.spawn(command, "backend-" + service)

    def caller_addresses(self):
        return [entry.info["caller"] for entry in self.entries]

    def operator_addresses(self):
        return [entry.info["operator"] for entry in self.entries]

    def status(self, child):
        """Status report of an entry or agent, or None if it did not answer."""
        code, _, text = http("GET", child.info["operator"], "/v1/status", timeout=5)
        return json.loads(text) if code == 200 else None

    def metrics(self, child):
        """Values of the metrics of an entry or agent, by metric name with labels."""
        _, _, text = http("GET", child.info["operator"], "/metrics", timeout=5)
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line}

    def starts(self, service, submission=""):
        """Start counts that the backend servers of a service logged; with `submission`, also the count of each of its tasks."""
        _, _, text = http("GET", self.backends[service].info["control"], "/starts" + ("?" + submission if submission else ""))
        return json.loads(text)

    def wait_ready(self, timeout=15.0):
        """Waits until every entry knows every agent and its slots, and then 0.6 s for the entries to reserve submission ids."""
        expected = sum(self.services.values())
        deadline = time.monotonic() + timeout
        for entry in self.entries:
            while True:
                state = self.status(entry)
                usable = [a for a in state["agents"] if a["slots"] > 0 and not a["leaving"]] if state else []
                if len(usable) >= expected:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError("an entry knows only %d of %d agents at the deadline" % (len(usable), expected))
                time.sleep(0.1)
        time.sleep(0.6)

    def start_load(self, mix, name="mix"):
        """Starts the load generator with a mix of requests; finish_load() returns its report."""
        path = self.write_settings(name, mix)
        command = [os.path.join(BUILD, "tools/cuminscale-load"), "--mix", path, "--entries", ",".join(self.caller_addresses()), "--json"]
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    @staticmethod
    def finish_load(process):
        """Waits for the load generator and returns its report."""
        text, _ = process.communicate(timeout=600)
        if process.returncode != 0:
            raise RuntimeError("the load generator exited with code %d" % process.returncode)
        return json.loads(text)

    def load(self, mix, name="mix"):
        """Runs the load generator with a mix of requests and returns its report."""
        return self.finish_load(self.start_load(mix, name))

    def restart(self, child, how="kill"):
        """Ends a daemon and starts it again at the same addresses.

        `how` is "kill" for SIGKILL; any other value ends it by SIGTERM and returns the exit code.
        """
        code = None
        if how == "kill":
            child.kill()
        else:
            code = child.stop()
        path = child.command[child.command.index("--settings") + 1]
        with open(path) as file:
            settings = json.load(file)
        settings["peer"]["listen"] = child.info["peer"]
        settings["http"]["operator_listen"] = child.info["operator"]
        if settings["role"] == "entry":
            settings["http"]["caller_listen"] = child.info["caller"]
        with open(path, "w") as file:
            json.dump(settings, file)
        replacement = Child(child.command, path.replace(".json", ".log"))
        for group in [self.children, self.entries, *self.agents.values()]:
            group[:] = [replacement if c is child else c for c in group]
        return code

    def cli(self, *arguments):
        """Runs the command line client against all entries."""
        command = [os.path.join(BUILD, "src/cuminscale"), *arguments, "--caller", ",".join(self.caller_addresses())]
        command += ["--operator", ",".join(self.operator_addresses())]
        return subprocess.run(command, capture_output=True, text=True, timeout=180)

    def stop(self):
        """Ends all processes, entries and agents first; returns the commands of the daemons that had to be killed."""
        running = [child for child in reversed(self.children) if child.process.returncode is None]
        daemons = [child for child in running if "cuminscaled" in child.command[0]]
        for child in daemons:
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGTERM)
        killed = [child.command for child in daemons if child.stop() is None]
        for child in running:
            if child not in daemons:
                child.kill()
        return killed

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()
