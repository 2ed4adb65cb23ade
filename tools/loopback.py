"""Starts daemons on loopback and queries them; shared by the scripts in tools/."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
DAEMON = BUILD / "src/daemon/gooseberrygapd"
TOOL = BUILD / "src/ctl/gooseberrygapctl"
TARGET = BUILD / "tests/support/stand_in_target/stand_in_target"
# Region and failure domain; plan_instances assigns them in turn.
FAILURE_DOMAINS = [("kochi", "kochi-a"), ("kochi", "kochi-b"),
                   ("kozhikode", "kozhikode-a"), ("kozhikode", "kozhikode-b")]
# Time limit of one request and of one wait_until.
WAIT_SECONDS = 30


class Instance:
    """Names and addresses of one daemon and its target."""

    def __init__(self, number, service, runs_control, ports):
        self.region, self.failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        self.name = f"{self.failure_domain}-{number}"
        self.service = service
        self.http, self.peer, self.target = (f"127.0.0.1:{port}" for port in ports)
        self.runs_control = runs_control


def free_ports(count):
    """Returns ports that were free when checked; all differ."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def plan_instances(services, control_instances):
    ports = free_ports(3 * len(services))
    return [Instance(i, service, i < control_instances, ports[3 * i:3 * i + 3])
            for i, service in enumerate(services)]


def start(command, log):
    with open(log, "ab") as output:
        return subprocess.Popen([str(part) for part in command], stdout=output,
                                stderr=output)


def start_daemon(instance, instances, folder):
    settings = {
        "instance": instance.name,
        "region": instance.region,
        "failure_domain": instance.failure_domain,
        "http": {"listen": instance.http},
        "peer": {"listen": instance.peer},
        "control_instances": [
            {"instance": each.name, "address": each.peer, "region": each.region}
            for each in instances if each.runs_control],
    }
    if instance.runs_control:
        settings["control"] = {"data_dir": str(folder / f"{instance.name}.data")}
    path = folder / f"{instance.name}.json"
    path.write_text(json.dumps(settings))
    return start([DAEMON, f"--settings={path}"], folder / f"{instance.name}.log")


def request(address, method, path, body=None, headers=None):
    """Returns status, outcome and body; without an answer, 0 and the error text."""
    call = urllib.request.Request(f"http://{address}{path}", method=method,
                                  data=body, headers=headers or {})
    try:
        with urllib.request.urlopen(call, timeout=WAIT_SECONDS) as answer:
            return (answer.status, answer.headers.get("Gooseberrygap-Outcome", ""),
                    answer.read())
    except urllib.error.HTTPError as error:
        return error.code, error.headers.get("Gooseberrygap-Outcome", ""), error.read()
    except OSError as error:
        return 0, str(error), b""


def read_json(address, path):
    """Returns the parsed body of a GET request, or {} for a status other than 200."""
    status, _, body = request(address, "GET", path)
    return json.loads(body) if status == 200 else {}


def wait_until(description, condition):
    """Polls the condition; ends the script when it does not hold in time."""
    end = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    sys.exit(f"Timed out after {WAIT_SECONDS} s, waiting until {description}.")


def wait_for_answers(instances):
    wait_until("the daemons answer",
               lambda: all(read_json(each.http, "/-/counters") for each in instances))


def run_tool(*arguments, quiet=False):
    result = subprocess.run([str(TOOL), *arguments], capture_output=True, text=True)
    if not quiet:
        print(f"$ gooseberrygapctl {' '.join(arguments)}\n"
              f"{result.stdout}{result.stderr}", end="")
    if result.returncode != 0:
        sys.exit(f"gooseberrygapctl failed with exit code {result.returncode}: {result.stderr}")


def form_group(instances, quiet=False):
    run_tool("control", "form", *(each.http for each in instances if each.runs_control),
             quiet=quiet)


def stop(processes):
    """Sends SIGTERM to all and returns the number of exit codes other than 0."""
    for process in processes:
        process.send_signal(signal.SIGTERM)
    return sum(1 for process in processes if process.wait(timeout=2 * WAIT_SECONDS) != 0)


def kill(processes):
    for process in processes:
        if process.poll() is None:
            process.kill()


def cpu_seconds(pid):
    """Returns the user and system time that the process has used so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    """Returns the resident memory in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0
