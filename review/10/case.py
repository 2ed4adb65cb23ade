"""A request crashes each endpoint that runs it, and comes again. All processes of
the core are killed at the same moment, some times."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
import lab as l  # noqa: E402

ROUTES = [("certify", "a.example", "/certify/", "unsafe", "lab-certify", 1200, 2)]
DOWN_S = 2.0  # An endpoint is back after it.
REPEAT_S = 5.0  # The fatal request comes again so often.
CORE_KILLS = 3
REPEATS_BETWEEN_KILLS = 3
FATAL = "/certify/fatal"


class FragileEndpoint(l.Endpoint):
    """Crashes when it begins to run the fatal request, and starts again under a new
    id after DOWN_S."""

    crashes = []
    count = 0

    def __init__(self, lab, machine, service):
        FragileEndpoint.count += 1
        super().__init__(lab, machine, service, f"i-{FragileEndpoint.count}", work_s=0.05,
                         on_run=FragileEndpoint.crash_if_fatal)

    def crash_if_fatal(self, identity, path):
        if path != FATAL:
            return
        FragileEndpoint.crashes.append((self.lab.now(), identity))
        self.lab.record(f"{self.name} crashes, the {len(FragileEndpoint.crashes)}. crash of {identity}")
        self.end()
        threading.Thread(target=self._come_back, daemon=True).start()

    def _come_back(self):
        time.sleep(DOWN_S)
        FragileEndpoint(self.lab, self.machine, self.service)


def run(lab):
    core = lab.start_core()
    side = [lab.add_machine("sidecar", "lab-certify") for _ in range(4)]
    caller = lab.add_machine("sidecar", "assay-query")
    for machine in core + side + [caller]:
        lab.start(machine, bootstrap=True)
    for machine in side:
        FragileEndpoint(lab, machine, "lab-certify")
    time.sleep(l.LEAD_S)
    if not lab.replace_config(core, l.configuration(1, 0, ROUTES, ["lab-certify"])):
        raise l.CannotRun("the configuration was not acknowledged")
    lab.wait_until("all are ready", lambda: all(lab.is_ready(machine) for machine in side))
    lab.wait_until("requests are served", lambda: l.call(
        lab, caller, "POST", "a.example", "/certify/x", f"first-{time.monotonic_ns()}",
        body=b"{}", quiet=True) == 200)

    core_events = []
    count = 0

    def send_fatal():
        nonlocal count
        count += 1
        due = time.monotonic() + REPEAT_S
        # Other requests keep the endpoints in use.
        for number in range(3):
            l.call(lab, caller, "POST", "a.example", "/certify/x", f"usual-{count}-{number}",
                   body=b"{}", quiet=True)
        l.call(lab, caller, "POST", "a.example", FATAL, f"fatal-{count}", body=b"fatal")
        return due

    def send_some(repeats):
        for _ in range(repeats - 1):
            time.sleep(max(0.0, send_fatal() - time.monotonic()))
        return send_fatal()

    due = send_some(REPEATS_BETWEEN_KILLS)
    for _ in range(CORE_KILLS):
        if l.TROUBLE:
            core_events.append(lab.now())
            for machine in core:
                machine.process.kill()
            for machine in core:
                machine.process.wait()
            lab.record("all processes of the core are killed")
            time.sleep(0.5)
            for machine in core:
                lab.start(machine)
            core_events.append(lab.now())
        time.sleep(max(0.0, due - time.monotonic()))
        due = send_some(REPEATS_BETWEEN_KILLS)

    crashes = FragileEndpoint.crashes

    def is_in_touch(at):
        return all(not event <= at <= event + l.CONTACT_S for event in core_events)

    counted = []
    if len(crashes) >= 3:
        counted = [identity for at, identity in crashes[3:]
                   if at > crashes[2][0] + l.CONTACT_S and is_in_touch(at)]
    lab.record(f"{len(crashes)} crashes; {len(counted)} of them by requests sent by machines in touch "
               f"later than {l.CONTACT_S} s after the third")
    print(f"crashes: {len(crashes)}, counted: {len(counted)}")
    return l.BROKEN if len(counted) > 3 else l.HELD


l.main(FOLDER, run)
