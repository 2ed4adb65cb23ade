"""A daemon forgets at its restart that its endpoint has left."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "support"))

from deployment import (ATTEMPT_ID, CONTACT_SECONDS, DRAIN_SECONDS, CouldNotRun, Endpoint,
                        configuration, new_attempt, one_call, run_case, trouble)

SIDECARS = [("kochi-a", "query"), ("kochi-a", "query"), ("kozhikode-a", "query")]
# The endpoint sends its last heartbeat this long before it leaves, and that
# heartbeat arrives this long after it was sent.
BEAT_BEFORE_LEAVE = 0.4
BEAT_DELAY = 3.5
KILL_AFTER_LEAVE = 0.3
RESTART_DELAY = 0.5
# How long the endpoint goes on to serve after its leave was acknowledged.
SERVES_SECONDS = 9.0
# The clients keep the three endpoints, with nine slots each, busy.
CLIENTS = 20
WORK_SECONDS = 0.1


async def client(record, machine, stop, count):
    while not stop.is_set():
        attempt = new_attempt()
        try:
            answer = await one_call(machine.address("outbound"), "GET", f"/safe/{attempt}", b"", {
                "Host": "query.example", ATTEMPT_ID: attempt,
                "X-Gooseberrygap-Deadline-Ms": "2000"})
            count.append(answer.status)
            record.write(f"client: {attempt} gets {answer.status}")
        except (OSError, asyncio.IncompleteReadError):
            record.write(f"client: {attempt} gets no answer")
        await asyncio.sleep(0.02)


async def play(deployment, record):
    deployment.start()
    for machine in deployment.sidecars:
        await Endpoint(machine, work_seconds=WORK_SECONDS).start()
    await deployment.apply(configuration(["query"]))
    await deployment.wait_ready(deployment.sidecars)
    await asyncio.sleep(2)
    machine, endpoint = deployment.sidecars[0], deployment.endpoints[0]
    stop, count = asyncio.Event(), []
    clients = [asyncio.create_task(client(record, deployment.sidecars[1 + i % 2], stop, count))
               for i in range(CLIENTS)]
    await asyncio.sleep(3)
    # The endpoint's last heartbeat is delayed on its way.
    endpoint.beating = False
    await asyncio.sleep(1.6)
    late_beat, beat_sent_at = endpoint.beat_body(), time.monotonic()
    record.write(f"endpoint {endpoint.id} sends heartbeat {late_beat['sequence']} (ready)")
    await asyncio.sleep(BEAT_BEFORE_LEAVE)
    if await endpoint.leave() != 200:
        raise CouldNotRun("the leave was not acknowledged")
    left_at = time.monotonic()
    record.write(f"endpoint {endpoint.id}: its leave is acknowledged; it goes on to serve")
    restarted_at = left_at
    await asyncio.sleep(KILL_AFTER_LEAVE)
    if trouble():
        machine.signal(signal.SIGKILL)
        machine.process.wait()
        await asyncio.sleep(RESTART_DELAY)
        machine.start()
        restarted_at = time.monotonic()
    await asyncio.sleep(max(0, beat_sent_at + BEAT_DELAY - time.monotonic()))
    status = await endpoint.send_beat(late_beat)
    record.write(f"endpoint {endpoint.id}: heartbeat {late_beat['sequence']} arrives late "
                 f"and gets {status}")
    await asyncio.sleep(max(0, left_at + SERVES_SECONDS - time.monotonic()))
    endpoint.state = "draining"
    stop.set()
    await asyncio.gather(*clients)
    # All machines are in touch, and `drain` has passed.
    counted_from = max(left_at + DRAIN_SECONDS, restarted_at + CONTACT_SECONDS) + 0.2
    late = [(at, attempt) for at, attempt, _, _ in endpoint.runs if at > counted_from]
    record.write(f"{len(count)} answers; {len(late)} requests reached the endpoint too late")
    return [f"DRAIN: {attempt} reached {endpoint.id} {at - left_at:.2f} s after its leave was "
            f"acknowledged" for at, attempt in late]


run_case(FOLDER, SIDECARS, play)
