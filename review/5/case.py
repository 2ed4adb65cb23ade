"""SIGTERM of a daemon while a client keeps a pipeline of safe requests filled."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "support"))

from deployment import (ATTEMPT_ID, GRACE_SECONDS, Endpoint, configuration, new_attempt, one_call,
                        print_request, read_answer, run_case, trouble)

# One sidecar in each zone: while its daemon is out, fewer than half of the
# zone's daemons are in, so its clients still receive work.
SIDECARS = [("kochi-a", "query"), ("kochi-b", "query"),
            ("kozhikode-a", "query"), ("kozhikode-b", "query")]
WORK_SECONDS = 0.16
# The client sends a request each 50 ms, so that three or four are unanswered on
# its connection at any time.
SEND_INTERVAL = 0.05
MAX_UNANSWERED = 8
SECONDS_BEFORE_STOP = 2.0
# A request sent later than this after the SIGTERM has no excuse in RULES.md for
# an endpoint that still works on it.
EXCUSED_SECONDS = 3.0


class PipeliningClient:
    """Sends further safe requests before the first is answered, on one connection."""

    def __init__(self, machine, record):
        self.machine, self.record = machine, record
        self.sent = {}  # Attempt id to time.
        self.open = []  # Attempt ids in the order of their answers.
        self.answered = 0
        self.foreign = []
        self.closed_at = None
        self.saw_close = False

    async def run(self):
        host, port = self.machine.address("outbound").rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        sender = asyncio.create_task(self.send_all(writer))
        try:
            while not self.saw_close:
                while not self.open:
                    await asyncio.sleep(SEND_INTERVAL)
                answer = await read_answer(reader)
                attempt = self.open.pop(0)
                self.answered += 1
                self.record.write(f"client: {attempt} gets {answer.status}")
                if answer.header(ATTEMPT_ID) not in (attempt, None):
                    self.foreign.append(attempt)
                # Clients respect Connection: close. What was sent behind it
                # counts as not read.
                self.saw_close = answer.closes
            self.open.clear()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_at = time.monotonic()
            self.record.write(f"client: the connection ends, without answer: {self.open}")
        finally:
            sender.cancel()
            writer.close()

    async def send_all(self, writer):
        while True:
            if len(self.open) < MAX_UNANSWERED:
                self.send(writer)
            await asyncio.sleep(SEND_INTERVAL)

    def send(self, writer):
        attempt = new_attempt()
        self.sent[attempt] = time.monotonic()
        self.open.append(attempt)
        writer.write(print_request("GET", f"/safe/{attempt}", {
            "Host": "query.example", ATTEMPT_ID: attempt,
            "X-Gooseberrygap-Deadline-Ms": "2000"}))
        self.record.write(f"client: sends {attempt}")


async def ask_readiness(machine, record):
    """Asks once per second whether the daemon is ready, as the platform does."""
    while True:
        try:
            answer = await asyncio.wait_for(
                one_call(machine.address("readiness"), "GET", "/v1/ready"), 1.0)
            status = answer.status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        record.write(f"platform: {machine.name} answers {status} to the readiness question")
        await asyncio.sleep(1)


async def play(deployment, record):
    deployment.start()
    for machine in deployment.sidecars:
        await Endpoint(machine, work_seconds=WORK_SECONDS).start()
    await deployment.apply(configuration(["query"]))
    await deployment.wait_ready(deployment.sidecars)
    await asyncio.sleep(2)
    stopped = deployment.sidecars[0]
    deployment.tasks.append(asyncio.create_task(ask_readiness(stopped, record)))
    client = PipeliningClient(stopped, record)
    task = asyncio.create_task(client.run())
    await asyncio.sleep(SECONDS_BEFORE_STOP)
    if not trouble():
        await asyncio.sleep(GRACE_SECONDS)
        task.cancel()
        return []
    # Planned work: SIGTERM, then SIGKILL after `grace`.
    stopped.signal(signal.SIGTERM)
    stop_at = time.monotonic()
    while stopped.is_running() and time.monotonic() - stop_at < GRACE_SECONDS:
        await asyncio.sleep(0.02)
    if stopped.is_running():
        stopped.signal(signal.SIGKILL)
    else:
        record.write("the daemon has ended by itself after SIGTERM")
    await asyncio.wait([task], timeout=3)
    task.cancel()
    runs = {attempt for endpoint in deployment.endpoints for _, attempt, _, _ in endpoint.runs}
    breaks = []
    for attempt in client.open:
        late = client.sent[attempt] - stop_at
        if client.closed_at and attempt in runs and late > EXCUSED_SECONDS:
            breaks.append(f"LOST: {attempt} was sent {late:.2f} s after the SIGTERM, reached an "
                          f"endpoint, and its connection ended without an answer")
    record.write(f"client: {client.answered} answers, {len(breaks)} requests lost")
    return breaks


run_case(FOLDER, SIDECARS, play)
