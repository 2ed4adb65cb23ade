"""Starts the project's daemons on loopback with settings like those of a small
deployment, and holds small stand-ins for endpoints, clients and the operator.
Shared by the scripts of the cases 6 to 10."""

import asyncio
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DAEMON = ROOT / "target/src/daemon/gooseberrygapd"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

ADMIN, READY, INBOUND, ENDPOINT, OUTBOUND = 8620, 8625, 8624, 8628, 8629
PEER, METRICS = 7600, 7615

# Bounds of the site periyar-assay.
CONTACT_S, CATCH_UP_S, DRAIN_S, GRACE_S = 3.0, 4.0, 2.0, 6.0
CONFIG_APPLY_S, RECOVERY_S, LEAD_S, HEARTBEAT_S = 2.0, 15.0, 8.0, 1.5


class CannotRun(Exception):
    """The case could not be set up."""


class Machine:
    def __init__(self, name, zone, region, ip, memory_mb, service=""):
        self.name, self.zone, self.region, self.ip = name, zone, region, ip
        self.memory_mb, self.service = memory_mb, service
        self.is_core = not service
        self.process = None

    def at(self, port):
        return f"{self.ip}:{port}"


class Lab:
    ZONES = [("kochi-a", "kochi"), ("kozhikode-a", "kozhikode"),
             ("kochi-b", "kochi"), ("kozhikode-b", "kozhikode")]

    def __init__(self, case_folder):
        if not DAEMON.exists():
            raise CannotRun(f"{DAEMON.relative_to(ROOT)} is missing; build it first")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.started = time.monotonic()
        self.record_file = open(pathlib.Path(case_folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.prefix = random.sample(range(16, 240), 2)
        self.next_host = 10
        self.machines, self.seeds = [], []
        self.extra_settings = {}

    # Records.

    def now(self):
        return time.monotonic() - self.started

    def record(self, text):
        with self.lock:
            self.record_file.write(f"{self.now():8.3f} s  {text}\n")
            self.record_file.flush()

    # Machines.

    def add_machine(self, kind, service=""):
        while True:
            ip = f"127.{self.prefix[0]}.{self.prefix[1]}.{self.next_host}"
            self.next_host += 1
            try:
                for port in (ADMIN, READY, ENDPOINT, OUTBOUND, PEER, METRICS):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
                break
            except OSError:
                if self.next_host > 250:
                    raise CannotRun("no free loopback address")
        number = sum(1 for each in self.machines if each.is_core == (kind == "core"))
        zone, region = self.ZONES[number % len(self.ZONES)]
        machine = Machine(f"{kind}-{zone}-{number}", zone, region, ip,
                          256 if kind == "core" else 260, service)
        self.machines.append(machine)
        return machine

    def data_dir(self, machine):
        return self.folder / f"{machine.name}.data"

    def settings(self, machine, bootstrap):
        """What platform/settings.json.tmpl gives for a machine of periyar-assay."""
        settings = {
            "instance": machine.name,
            "region": machine.region,
            "failure_domain": machine.zone,
            "http": {"listen": machine.at(METRICS), "workers": 1, "max_connections": 64},
            "peer": {"listen": machine.at(PEER)},
            "control_instances": [],
            "seeds": {"addresses": [each.at(ADMIN) for each in self.seeds],
                      "peer_port": PEER, "first_start": bootstrap, "tolerated_losses": 2},
            "platform": {"calls": "" if machine.is_core else machine.at(OUTBOUND),
                         "readiness": "" if machine.is_core else machine.at(READY),
                         "administration": machine.at(ADMIN), "service": machine.service,
                         "repeat_ratio": 0.2, "repeat_slack": 60, "repeat_window_s": 10},
            "configuration_apply_ms": 2000,
            "memory_mb": machine.memory_mb,
            "target_workers": 64,
        }
        if machine.is_core:
            settings["control"] = {"data_dir": str(self.data_dir(machine))}
        settings.update(self.extra_settings)
        return settings

    def start(self, machine, bootstrap=False):
        path = self.folder / f"{machine.name}.json"
        path.write_text(json.dumps(self.settings(machine, bootstrap)))
        log = open(self.folder / f"{machine.name}.log", "ab")
        machine.process = subprocess.Popen([str(DAEMON), f"--settings={path}"],
                                           stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.record(f"{machine.name} ({machine.ip}) started")

    def kill(self, machine, why="killed"):
        machine.process.kill()
        machine.process.wait()
        self.record(f"{machine.name} {why}")

    def terminate(self, machine):
        """SIGTERM, and SIGKILL after the grace."""
        self.record(f"{machine.name} gets SIGTERM")
        machine.process.terminate()
        try:
            machine.process.wait(timeout=GRACE_S)
            self.record(f"{machine.name} has ended")
        except subprocess.TimeoutExpired:
            self.kill(machine, "killed after the grace")

    def wipe(self, machine):
        shutil.rmtree(self.data_dir(machine), ignore_errors=True)
        self.record(f"{machine.name} has lost its disk")

    def memory_mb(self, machine):
        """The resident memory, or nothing for a process that has ended."""
        try:
            text = pathlib.Path(f"/proc/{machine.process.pid}/status").read_text()
        except OSError:
            return None
        for line in text.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return None

    def close(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        self.record_file.close()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    # The operator.

    def start_core(self, count=5):
        core = [self.add_machine("core") for _ in range(count)]
        self.seeds = core[:3]
        return core

    def order(self, machine, method, path, body=None, timeout=1.0):
        """Returns status and body, or nothing without an answer in time."""
        connection = http.client.HTTPConnection(machine.ip, ADMIN, timeout=timeout)
        try:
            connection.request(method, path, body=body,
                               headers={"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def replace_config(self, core, configuration, patience=15.0):
        """Sends a configuration until it has a clear answer; returns whether it
        was acknowledged."""
        body = json.dumps(configuration)
        end = time.monotonic() + patience
        version = configuration["version"]
        self.record(f"operator sends r{version}")
        for attempt in range(10000):
            machine = core[attempt % len(core)]
            answer = self.order(machine, "POST", "/v1/Config.Replace", body)
            if answer is not None and answer[0] == 200:
                self.record(f"r{version} acknowledged by {machine.name}")
                return True
            if answer is not None and answer[0] in (400, 409, 412, 413, 422):
                self.record(f"r{version} refused by {machine.name}: {answer[0]}")
                return False
            if time.monotonic() > end:
                self.record(f"r{version} has no clear answer")
                return False
            time.sleep(0.1)
        return False

    def read_config(self, machine):
        """Returns the version read, or nothing without a 200."""
        answer = self.order(machine, "GET", "/v1/Config.Get")
        if answer is None or answer[0] != 200:
            return None
        return json.loads(answer[1])["version"]

    def is_ready(self, machine):
        connection = http.client.HTTPConnection(machine.ip, READY, timeout=1)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_until(self, what, condition, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"timed out, waiting until {what}")


def configuration(version, base, routes, services, limits=None):
    """routes: (name, host, prefix, kind, service, timeout_ms, max_attempts)."""
    return {
        "version": version, "base_version": base,
        "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                             "header_timeout": 3000, "idle_timeout": 15000},
        "routes": [{"name": name, "host": host, "path_prefix": prefix, "kind": kind,
                    "service": service, "timeout": timeout, "target_latency": timeout // 2,
                    "priority": 1, "max_attempts": attempts}
                   for name, host, prefix, kind, service, timeout, attempts in routes],
        "services": [{"name": name, "health_path": "/health", "max_connections": 240,
                      "protocol": "h1", "tls": False} for name in services],
    }


class Endpoint:
    """A sound endpoint: runs requests, and says of itself what PROTOCOL.md says."""

    def __init__(self, lab, machine, service, name, work_s=0.05, on_run=None):
        self.lab, self.machine, self.service, self.name = lab, machine, service, name
        self.work_s, self.on_run = work_s, on_run
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.beats, self.runs = True, []
        self.loop = asyncio.new_event_loop()
        self.server, self.ended = None, False
        self.connections = set()
        ready = threading.Event()
        threading.Thread(target=self._run, args=(ready,), daemon=True).start()
        ready.wait(5)
        threading.Thread(target=self._beat, daemon=True).start()

    def _run(self, ready):
        asyncio.set_event_loop(self.loop)
        self.server = self.loop.run_until_complete(
            asyncio.start_server(self._serve, self.machine.ip, ENDPOINT, limit=1 << 27))
        ready.set()
        self.loop.run_forever()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, extra, text = await self._answer(method, path, headers, body)
                out = [f"HTTP/1.1 {status} X", f"Content-Length: {len(text)}",
                       "X-Gooseberrygap-Server-Load: 0,0,9,100"] + extra
                if "x-gooseberrygap-attempt-id" in headers:
                    out.append("X-Gooseberrygap-Attempt-Id: "
                               + headers["x-gooseberrygap-attempt-id"])
                writer.write(("\r\n".join(out) + "\r\n\r\n").encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, method, path, headers, body):
        if path == "/health":
            return 200, [f"X-Gooseberrygap-Instance-Id: {self.name}"], b""
        wanted = headers.get("x-gooseberrygap-target-instance", self.name)
        if wanted != self.name:
            return 421, [f"X-Gooseberrygap-Instance-Id: {self.name}"], b""
        identity = headers.get("x-gooseberrygap-attempt-id", "")
        if not identity:
            return 400, ["X-Gooseberrygap-Not-Executed: 1"], b""
        self.runs.append((self.lab.now(), identity))
        self.lab.record(f"{self.name} runs {identity} ({method} {path})")
        if self.on_run is not None:
            self.on_run(self, identity, path)
        await asyncio.sleep(self.work_s)
        return 200, [f"X-Gooseberrygap-Server-Signature: {self.name}.{identity}"], b"done"

    def document(self):
        self.sequence += 1
        return {"service": self.service, "address": self.machine.at(ENDPOINT),
                "zone": self.machine.zone, "version": "v1", "capacity": 9,
                "state": self.state, "warmup_left": 0, "sequence": self.sequence,
                "born": self.born}

    def say(self, path, document, timeout=1.0):
        answer = self.lab.order(self.machine, "POST", f"{path}/{self.name}",
                                json.dumps(document), timeout)
        return answer is not None and 200 <= answer[0] < 300

    def _beat(self):
        while not self.ended:
            if self.beats:
                self.say("/v1/Instances.Heartbeat", self.document())
            time.sleep(HEARTBEAT_S)

    def end(self):
        """The process ends: its sockets close."""
        self.ended = True
        self.beats = False

        def close():
            self.server.close()
            for writer in list(self.connections):
                writer.transport.abort()
        self.loop.call_soon_threadsafe(close)


def call(lab, machine, method, host, path, identity, deadline_ms=2000, body=None,
         connection=None, quiet=False):
    """One attempt of a client; returns the status, or nothing when the connection
    ended without a whole answer."""
    own = connection is None
    if own:
        connection = http.client.HTTPConnection(machine.ip, OUTBOUND,
                                                timeout=deadline_ms / 1000 + 3)
    if not quiet:
        lab.record(f"client at {machine.name} sends {identity} ({method} {path})")
    status, signed = None, False
    try:
        connection.request(method, path, body=body, headers={
            "Host": host, "X-Gooseberrygap-Attempt-Id": identity,
            "X-Gooseberrygap-Deadline-Ms": str(deadline_ms)})
        answer = connection.getresponse()
        answer.read()
        status = answer.status
        signed = answer.getheader("X-Gooseberrygap-Server-Signature") is not None
    except (OSError, http.client.HTTPException):
        pass
    finally:
        if own:
            connection.close()
    if not quiet:
        lab.record(f"client gets for {identity}: {status}{' of the endpoint' if signed else ''}")
    return status


def main(case_folder, run):
    """Runs the case and ends the process with the exit code of its result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    lab, result = None, NOT_RUN
    try:
        lab = Lab(case_folder)
        result = run(lab)
    except CannotRun as error:
        print(f"cannot run: {error}", file=sys.stderr)
    except Exception:  # A fault of the script is no result.
        traceback.print_exc()
    finally:
        if lab is not None:
            lab.close()
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(result)
