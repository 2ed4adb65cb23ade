"""A planned replacement of a core machine, then a final fault that takes two disks."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
import lab as l  # noqa: E402

ROUTES = [("lookup", "a.example", "/lookup/", "safe", "assay-query", 1000, 2)]


def config(version, base):
    return l.configuration(version, base, ROUTES, ["assay-query"])


def run(lab):
    core = lab.start_core()
    for machine in core:
        lab.start(machine, bootstrap=True)
    time.sleep(l.LEAD_S)
    if not lab.replace_config(core, config(1, 0)):
        raise l.CannotRun("the first configuration was not acknowledged")

    # The new machine comes first, has its catch_up, and the old one leaves.
    new = lab.add_machine("core")
    lab.start(new)
    time.sleep(l.CATCH_UP_S + 2)
    old = core[-1]
    lab.terminate(old)
    lab.wipe(old)
    core = core[:-1] + [new]

    if not lab.replace_config(core, config(2, 1)):
        raise l.CannotRun("the second configuration was not acknowledged")
    if l.TROUBLE:
        lost = core[:2]
        for machine in lost:
            lab.kill(machine, "loses power")
            lab.wipe(machine)
        time.sleep(1)
        for machine in lost:
            lab.start(machine)
    back = lab.now()

    # Traffic goes on through the recovery; then the operator reads for `contact`
    # and longer.
    newest, reads = None, 0
    while lab.now() < back + l.RECOVERY_S + 2 * l.CONTACT_S:
        for machine in core:
            version = lab.read_config(machine)
            if version is not None:
                reads += 1
                newest = version
        time.sleep(0.5)
    acknowledged = lab.replace_config(core, config(3, 2), patience=8)
    lab.record(f"after the final fault: {reads} reads with 200, the last of r{newest}; "
               f"r3 {'acknowledged' if acknowledged else 'not acknowledged'}")
    print(f"reads with 200: {reads}, last version: {newest}, r3 acknowledged: {acknowledged}")
    return l.HELD if newest == 2 and acknowledged else l.BROKEN


l.main(FOLDER, run)
