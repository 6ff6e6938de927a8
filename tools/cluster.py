"""Runs a small set of real processes on loopback for the demo, the benchmarks and the fault runs.

Every process picks its own ports and prints them on its first line. Processes are ended by their own handles only.
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
    """One call; returns (status, headers, text). A status of 0 means that no answer came."""
    data = None if body is None else (body if isinstance(body, bytes) else body.encode())
    request = urllib.request.Request("http://%s%s" % (address, path), data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()
    except OSError as error:
        return 0, {}, str(error)


class Child:
    """A started process and the addresses that it printed."""

    def __init__(self, command, log_path):
        self.command = command
        self.log = open(log_path, "ab")
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log)
        self.info = json.loads(self.process.stdout.readline() or b"{}")
        if not self.info:
            raise RuntimeError("%s did not start; see %s" % (command[0], log_path))

    def signal(self, number):
        self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None

    def stop(self, timeout=20.0):
        """Asks the process to end and waits; returns its exit code, or None when it had to be killed."""
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
    """A store stand-in, some entries, and agents with backend stand-ins, one stand-in process for each service."""

    def __init__(self, entries=3, services=None, slots=8, settings=None, store=True, report_time=False):
        self.services = {"pairing": 11} if services is None else services
        self.settings = settings or {}
        self.slots = slots
        self.report_time = report_time
        self.folder = tempfile.mkdtemp(prefix="cuminscale-")
        self.children = []
        self.numbers = 0
        self.entries = []
        try:
            self.start_all(entries, store)
        except BaseException:
            self.stop()
            raise

    def start_all(self, entries, store):
        self.store = self.spawn(["python3", os.path.join(ROOT, "tools/store_standin.py")], "store") if store else None
        for i in range(entries):
            self.entries.append(self.start_entry(i))
        self.agents = {name: [self.start_agent(i) for i in range(count)] for name, count in self.services.items()}
        self.backends = {name: self.start_backends(name) for name in self.services}

    def spawn(self, command, name):
        child = Child(command, os.path.join(self.folder, name + ".log"))
        self.children.append(child)
        return child

    def write_settings(self, name, settings):
        path = os.path.join(self.folder, name + ".json")
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
        self.numbers += 1
        settings = {
            "role": "agent",
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "peer": {"listen": peer, "entries": [e.info["peer"] for e in self.entries]},
            "http": {"operator_listen": operator},
        }
        return self.start_daemon("agent-%d" % self.numbers, settings)

    def start_backends(self, service):
        doors = ",".join(agent.info["operator"] for agent in self.agents[service])
        command = [os.path.join(BUILD, "tools/cuminscale-backend-standin"), "--agents", doors, "--service", service]
        command += ["--slots", str(self.slots)] + (["--report_time"] if self.report_time else [])
        return self.spawn(command, "backend-" + service)

    def callers(self):
        return [entry.info["caller"] for entry in self.entries]

    def operators(self):
        return [entry.info["operator"] for entry in self.entries]

    def status(self, child):
        code, _, text = http("GET", child.info["operator"], "/v1/status", timeout=5)
        return json.loads(text) if code == 200 else None

    def metrics(self, child):
        _, _, text = http("GET", child.info["operator"], "/metrics", timeout=5)
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line}

    def starts(self, service, submission=""):
        _, _, text = http("GET", self.backends[service].info["control"], "/starts" + ("?" + submission if submission else ""))
        return json.loads(text)

    def wait_ready(self, timeout=15.0):
        """Waits until every entry knows every agent with its slots, and has ids in stock."""
        want = sum(self.services.values())
        end = time.monotonic() + timeout
        for entry in self.entries:
            while True:
                state = self.status(entry)
                usable = [a for a in state["agents"] if a["slots"] > 0 and not a["leaving"]] if state else []
                if len(usable) >= want:
                    break
                if time.monotonic() > end:
                    raise RuntimeError("only %d of %d agents are known" % (len(usable), want))
                time.sleep(0.1)
        time.sleep(0.6)

    def start_load(self, mix, name="mix"):
        """Starts the load tool on a mix; finish_load() takes its report."""
        path = self.write_settings(name, mix)
        command = [os.path.join(BUILD, "tools/cuminscale-load"), "--mix", path, "--entries", ",".join(self.callers()), "--json"]
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    @staticmethod
    def finish_load(process):
        """Waits for the load tool and returns its report."""
        text, _ = process.communicate(timeout=600)
        if process.returncode != 0:
            raise RuntimeError("the load tool ended with %d" % process.returncode)
        return json.loads(text)

    def load(self, mix, name="mix"):
        """Runs the load tool on a mix; returns its report."""
        return self.finish_load(self.start_load(mix, name))

    def restart(self, child, how="kill"):
        """Ends a daemon, by kill -9 or in good order, and starts it again at the same addresses. Returns its exit code."""
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
        command = [os.path.join(BUILD, "src/cuminscale"), *arguments, "--caller", ",".join(self.callers())]
        command += ["--operator", ",".join(self.operators())]
        return subprocess.run(command, capture_output=True, text=True, timeout=180)

    def stop(self):
        """Ends whatever is still running, entries and agents first; returns the daemons that did not end by themselves."""
        running = [child for child in reversed(self.children) if child.process.returncode is None]
        daemons = [child for child in running if "cuminscaled" in child.command[0]]
        for child in daemons:
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGTERM)
        stuck = [child.command for child in daemons if child.stop() is None]
        for child in running:
            if child not in daemons:
                child.kill()
        return stuck

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()
