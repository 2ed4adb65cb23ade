"""An endpoint leaves, all processes are killed at the same moment, and a heartbeat
that the endpoint had sent before it left arrives late."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
import lab as l  # noqa: E402

ROUTES = [("certify", "a.example", "/certify/", "unsafe", "lab-certify", 1200, 2)]
LATE_S = 6.0  # How late the heartbeat is.
SERVES_ON_S = 13.0  # After the acknowledgement of its leave.
WORK_S = 0.3
CLIENTS = 14


def run(lab):
    core = lab.start_core()
    leaving = lab.add_machine("sidecar", "lab-certify")
    staying = lab.add_machine("sidecar", "lab-certify")
    caller = lab.add_machine("sidecar", "assay-query")
    side = [leaving, staying, caller]
    for machine in core + side:
        lab.start(machine, bootstrap=True)
    endpoint = l.Endpoint(lab, leaving, "lab-certify", "i-leaving", work_s=WORK_S)
    l.Endpoint(lab, staying, "lab-certify", "i-staying", work_s=WORK_S)
    time.sleep(l.LEAD_S)
    if not lab.replace_config(core, l.configuration(1, 0, ROUTES, ["lab-certify"])):
        raise l.CannotRun("the configuration was not acknowledged")
    lab.wait_until("all are ready", lambda: all(lab.is_ready(machine) for machine in side))
    lab.wait_until("requests are served", lambda: l.call(
        lab, caller, "POST", "a.example", "/certify/x", f"first-{time.monotonic_ns()}",
        body=b"{}", quiet=True) == 200)

    answers, stop = {}, threading.Event()

    def client(number):
        count = 0
        while not stop.is_set():
            count += 1
            identity = f"certify-{number}-{count}"
            answers[identity] = l.call(lab, caller, "POST", "a.example", "/certify/x", identity,
                                       deadline_ms=2500, body=b"{}", quiet=True)
            time.sleep(0.1)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(2)

    # The heartbeat that arrives late is sent now.
    late = endpoint.document()
    lab.record(f"i-leaving sends heartbeat {late['sequence']} (ready), which is held up")
    sent = lab.now()
    time.sleep(1)
    endpoint.beats = False
    if not endpoint.say("/v1/Instances.Leave", {"born": endpoint.born}):
        raise l.CannotRun("the leave was not acknowledged")
    acknowledged = lab.now()
    lab.record("the leave of i-leaving is acknowledged")
    time.sleep(0.5)
    back = acknowledged
    if l.TROUBLE:
        for machine in core + side:
            machine.process.kill()
        for machine in core + side:
            machine.process.wait()
        lab.record("all processes are killed")
        time.sleep(0.5)
        for machine in core + side:
            lab.start(machine)
        back = lab.now()
    time.sleep(max(0.0, sent + LATE_S - lab.now()))
    lab.record(f"heartbeat {late['sequence']} of i-leaving arrives, {lab.now() - sent:.1f} s late")
    endpoint.say("/v1/Instances.Heartbeat", late)
    time.sleep(max(0.0, acknowledged + SERVES_ON_S - lab.now()))
    ran_before_end = {identity for at, identity in endpoint.runs if at > lab.now() - WORK_S}
    endpoint.end()
    lab.record("i-leaving ends")
    time.sleep(3)
    stop.set()
    for thread in threads:
        thread.join()

    in_touch = max(acknowledged + l.DRAIN_S, back + l.CONTACT_S + 0.5)
    late_runs = [identity for at, identity in endpoint.runs if at > in_touch]
    lost = [identity for identity in ran_before_end if answers.get(identity) != 200]
    lab.record(f"{len(late_runs)} requests reached i-leaving later than {l.DRAIN_S} s after its leave "
               f"was acknowledged, from machines in touch; {len(lost)} ran when it ended and "
               f"were lost: {[answers.get(identity) for identity in lost]}")
    print(f"reached the endpoint after it had left: {len(late_runs)}, lost with it: {len(lost)}")
    return l.BROKEN if late_runs else l.HELD


l.main(FOLDER, run)
