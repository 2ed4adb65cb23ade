"""Starts a small deployment on loopback and plays its platform, endpoints and clients.

The daemons are the project's own programs, started with the command and the
settings template of the deploy file. Endpoints, clients and the operator are
stand-ins that follow PROTOCOL.md. One asyncio loop runs all stand-ins.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = "target/src/daemon/gooseberrygapd"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
# A script may run for 120 s.
LIMIT_SECONDS = 110
HEARTBEAT_SECONDS = 1.5
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 6.0
SIGNATURE = "X-Gooseberrygap-Server-Signature"
ATTEMPT_ID = "X-Gooseberrygap-Attempt-Id"
ZONES = {"kochi-a": "kochi", "kochi-b": "kochi",
         "kozhikode-a": "kozhikode", "kozhikode-b": "kozhikode"}


class CouldNotRun(Exception):
    pass


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        self._file.write(f"{self.now():9.3f} s  {text}\n")


def free_ports(host, count):
    """Returns ports that are free at `host`."""
    sockets = []
    for _ in range(count):
        each = socket.socket()
        each.bind((host, 0))
        sockets.append(each)
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Machine:
    """One machine: a loopback address, the settings and the daemon on it."""

    def __init__(self, deployment, number, machine_class, zone, service=""):
        self.deployment = deployment
        self.name = f"{machine_class}-{zone}-{number}"
        self.machine_class = machine_class
        self.zone = zone
        self.service = service
        self.ip = f"127.{deployment.net}.{number // 200 + 1}.{number % 200 + 1}"
        self.process = None
        self.started_at = None

    @property
    def folder(self):
        return self.deployment.folder / self.name

    def address(self, port):
        return f"{self.ip}:{self.deployment.ports[port]}"

    def fields(self, bootstrap):
        deployment = self.deployment
        sidecar = self.machine_class == "sidecar"
        listen = {"admin": self.address("admin")}
        if sidecar:
            listen.update(inbound=self.address("inbound"),
                          outbound=self.address("outbound"),
                          readiness=self.address("readiness"))
        fields = {
            "node_name": self.name, "zone": self.zone, "region": ZONES[self.zone],
            "ip": self.ip,
            "internal_ports": [deployment.ports["peer"], deployment.ports["http"]],
            "seeds": [each.address("admin") for each in deployment.core[:3]],
            "bootstrap": bootstrap, "listen": listen, "service": self.service,
            "fault_tolerance": {"nodes": 2, "zones": 0, "regions": 0},
            "bounds": {"retry_budget_ratio": 0.2, "retry_budget_slack": 60,
                       "retry_window": 10}}
        if not sidecar:
            fields["data_dir"] = str(self.folder / "data")
        return fields

    def start(self, bootstrap=False):
        self.folder.mkdir(exist_ok=True)
        settings = self.folder / "settings.toml"
        settings.write_text(render(
            (ROOT / "platform/settings.json.tmpl").read_text(), self.fields(bootstrap)))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [str(ROOT / DAEMON), f"--settings={settings}"], cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment)
        self.started_at = time.monotonic()
        self.deployment.processes.append(self.process)
        self.deployment.record.write(f"daemon {self.name} started")

    def signal(self, number):
        self.deployment.record.write(
            f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None


def render(template, fields):
    """Fills in a settings template as DEPLOY.md tells."""
    def value_of(name):
        value = fields
        for part in name.split("."):
            value = (value[int(part)] if isinstance(value, list) else value.get(part)) \
                if value is not None else None
        return value

    def section(match):
        value = value_of(match.group(1))
        return render(match.group(2), fields) if value else ""

    def placeholder(match):
        name, _, filter_name = match.group(1).partition("|")
        value = value_of(name)
        if filter_name == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", placeholder, template)


class Deployment:
    """Five machines of the core, and the given sidecars as (zone, service)."""

    def __init__(self, record, sidecars):
        self.record = record
        self.net = random.randrange(16, 240)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.tasks = []
        names = ["admin", "peer", "http", "inbound", "outbound", "readiness", "endpoint"]
        self.ports = dict(zip(names, free_ports(f"127.{self.net}.1.1", len(names))))
        zones = list(ZONES)
        self.core = [Machine(self, i, "core", zones[i % 4]) for i in range(5)]
        self.sidecars = [Machine(self, 10 + i, "sidecar", zone, service)
                         for i, (zone, service) in enumerate(sidecars)]
        self.endpoints = []

    def start(self):
        if not (ROOT / DAEMON).exists():
            raise CouldNotRun(f"{DAEMON} is missing; build the deploy file first")
        for machine in self.core + self.sidecars:
            machine.start(bootstrap=True)

    async def apply(self, document, path="/v1/Config.Replace", timeout=20):
        """Sends an order as the operator until it has a clear answer; returns the status."""
        end = time.monotonic() + timeout
        for i in range(10**6):
            machine = self.core[i % len(self.core)]
            status, body = await self.order(machine, "POST", path, document)
            if status in (200, 400, 409, 412, 413, 422):
                return status
            if time.monotonic() > end:
                raise CouldNotRun(f"no clear answer to {path}")
            await asyncio.sleep(0.2)

    async def order(self, machine, method, path, document=None):
        body = b"" if document is None else json.dumps(document).encode()
        try:
            answer = await asyncio.wait_for(
                one_call(machine.address("admin"), method, path, body,
                         {"Content-Type": "application/json"}), 1.0)
        except (OSError, asyncio.TimeoutError, EOFError, asyncio.IncompleteReadError):
            self.record.write(f"operator: {method} {path} at {machine.name}: no answer")
            return 0, b""
        self.record.write(f"operator: {method} {path} at {machine.name}: "
                          f"{answer.status} {answer.body[:300].decode(errors='replace')}")
        return answer.status, answer.body

    async def wait_ready(self, machines, timeout=30):
        """Waits until each daemon answers the readiness question with 200."""
        end = time.monotonic() + timeout
        for machine in machines:
            while True:
                try:
                    answer = await asyncio.wait_for(
                        one_call(machine.address("readiness"), "GET", "/v1/ready"), 1.0)
                    if answer.status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > end:
                    raise CouldNotRun(f"{machine.name} did not become ready")
                await asyncio.sleep(0.1)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body, closes):
        self.status, self.headers, self.body, self.closes = status, headers, body, closes

    def header(self, name):
        return self.headers.get(name.lower())


async def read_answer(reader, method="GET"):
    """Reads one answer; raises IncompleteReadError if it ends early."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    status = int(lines[0].split()[1])
    body = b""
    if method != "HEAD" and status not in (204, 304):
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(status, headers, body, headers.get("connection", "").lower() == "close")


def print_request(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def one_call(address, method, path, body=b"", headers=None):
    """Sends a request on a connection of its own and returns its answer."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(print_request(method, path, {"Host": address, **(headers or {})}, body))
        return await read_answer(reader, method)
    finally:
        writer.close()


class Endpoint:
    """An application endpoint beside a sidecar's daemon."""

    def __init__(self, machine, capacity=9, work_seconds=0.02):
        self.machine = machine
        self.record = machine.deployment.record
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.capacity = capacity
        self.work_seconds = work_seconds
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.runs = []  # (time, attempt id, method, path)
        self.answers = 0
        self.beating = True
        # Hook (method, answers sent before on the connection): returns bytes that the
        # endpoint sends on the connection before its answer, or None.
        self.before_answer = None
        self._writers = []
        machine.deployment.endpoints.append(self)

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, self.machine.deployment.ports["endpoint"])
        self.machine.deployment.tasks.append(asyncio.create_task(self._beat()))

    def stop(self):
        """Ends the endpoint as if its machine had been lost."""
        self.beating = False
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def beat_body(self):
        self.sequence += 1
        return {"service": self.machine.service, "address": self.machine.address("endpoint"),
                "zone": self.machine.zone, "version": "v1", "capacity": self.capacity,
                "state": self.state, "warmup_left": 0, "sequence": self.sequence,
                "born": self.born}

    async def send_beat(self, body):
        try:
            answer = await asyncio.wait_for(one_call(
                self.machine.address("admin"), "POST", f"/v1/Instances.Heartbeat/{self.id}",
                json.dumps(body).encode(), {"Content-Type": "application/json"}), 1.0)
            return answer.status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def leave(self):
        answer = await asyncio.wait_for(one_call(
            self.machine.address("admin"), "POST", f"/v1/Instances.Leave/{self.id}",
            json.dumps({"born": self.born}).encode(), {"Content-Type": "application/json"}), 1.0)
        return answer.status

    async def _beat(self):
        while self.beating:
            status = await self.send_beat(self.beat_body())
            await asyncio.sleep(HEARTBEAT_SECONDS if 200 <= status < 300 else 0.3)

    def load(self):
        return f"{self.running},0,{self.capacity},100"

    async def _serve(self, reader, writer):
        answered = 0
        self._writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    if line:
                        name, _, value = line.partition(":")
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._answer(method, path, headers, writer, answered)
                answered += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, headers, writer, answered):
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(self._print(status, {"X-Gooseberrygap-Instance-Id": self.id}, b""))
            return
        attempt = headers.get(ATTEMPT_ID.lower(), "")
        if headers.get("x-gooseberrygap-target-instance", self.id) != self.id:
            self.record.write(f"endpoint {self.id}: 421 to {attempt}")
            writer.write(self._print(421, {"X-Gooseberrygap-Instance-Id": self.id}, b""))
            return
        if self.running >= self.capacity:
            self.record.write(f"endpoint {self.id}: sheds {attempt}")
            writer.write(self._print(503, {"X-Gooseberrygap-Not-Executed": "1",
                                           ATTEMPT_ID: attempt}, b""))
            return
        self.running += 1
        self.runs.append((time.monotonic(), attempt, method, path))
        self.record.write(f"endpoint {self.id} ({self.machine.name}) runs {attempt} "
                          f"{method} {path} caller "
                          f"{headers.get('x-gooseberrygap-caller-service', '')}")
        try:
            extra = self.before_answer(method, answered) if self.before_answer else None
            if extra:
                self.record.write(f"endpoint {self.id}: additional bytes after the "
                                  f"last answer: {extra!r}")
                writer.write(extra)
                await writer.drain()
            await asyncio.sleep(self.work_seconds)
            self.answers += 1
            writer.write(self._print(200, {ATTEMPT_ID: attempt, SIGNATURE: sign(self.id, attempt)},
                                     answer_body(attempt)))
            await writer.drain()
        finally:
            self.running -= 1

    def _print(self, status, headers, body):
        lines = [f"HTTP/1.1 {status} Status",
                 f"X-Gooseberrygap-Server-Load: {self.load()}"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body


def sign(endpoint_id, attempt):
    return f"{endpoint_id}.{attempt}"


def answer_body(attempt):
    return f"answer to {attempt}\n".encode() * 8


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def configuration(services, version=1, base_version=0):
    """A configuration with a safe and an unsafe route for each service."""
    routes = []
    for service in services:
        for kind in ("safe", "unsafe"):
            routes.append({"name": f"r-{service}-{kind}", "host": f"{service}.example",
                           "path_prefix": f"/{kind}/", "kind": kind, "timeout": 1000,
                           "target_latency": 500, "priority": 1, "service": service,
                           "max_attempts": 2})
    return {"version": version, "base_version": base_version, "routes": routes,
            "services": [{"name": service, "health_path": "/health", "max_connections": 240,
                          "protocol": "h1", "tls": False} for service in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout": 3000, "idle_timeout": 15000}}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, sidecars, play):
    """Plays a case and ends the script with its exit code.

    `play` is a coroutine function of (deployment, record) that returns a list of
    the breaks that it saw.
    """
    record = Record(folder)
    deployment = Deployment(record, sidecars)

    def finish(code, text):
        record.write(text)
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(deployment.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        deployment.close()
        record.write(f"exit code {code}, trouble {'on' if trouble() else 'off'}")
        print({BROKEN: "broken", HELD: "held", COULD_NOT_RUN: "could not run"}[code], flush=True)
        # Without the end of the event loop, which waits for tasks that may have
        # missed their cancellation.
        os._exit(code)

    def on_alarm(number, frame):
        finish(COULD_NOT_RUN, f"not done after {LIMIT_SECONDS} s")

    async def bounded():
        try:
            breaks = await play(deployment, record)
        except (CouldNotRun, OSError, EOFError, asyncio.TimeoutError) as error:
            finish(COULD_NOT_RUN, f"could not run: {error!r}")
        except Exception:
            finish(COULD_NOT_RUN, traceback.format_exc())
        for each in breaks:
            record.write(f"BROKEN: {each}")
        finish(BROKEN if breaks else HELD, f"{len(breaks)} breaks")

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_alarm)
    signal.alarm(LIMIT_SECONDS)
    asyncio.run(bounded())
