#!/usr/bin/env python3
"""Configuration of Toneleria Hermanos Quesada: the cost of measuring counts most.

Run it with PYTHONPATH=operators/python; the argument is the version number.
"""

import sys

import gooseberrygap as gg


def lookup(path_prefix):
    return gg.Rule(method="GET", path_prefix=path_prefix, request_class=gg.IDEMPOTENT)


def action(path_prefix):
    return gg.Rule(method="POST", path_prefix=path_prefix, request_class=gg.NON_IDEMPOTENT)


# Every byte across the paid link costs money, so second copies are few.
LATE_HEDGE = gg.HedgePolicy(quantile=0.99, budget_ratio=0.02)


def configuration(version):
    return gg.Configuration(
        version=version,
        services=(
            gg.Service(
                name="catalogue",
                default_deadline_ms=2000,
                hedge=LATE_HEDGE,
                admission=gg.AdmissionPolicy(max_targets=12),
                rules=(
                    lookup("/hoops/"),
                    lookup("/prices/"),
                )),
            gg.Service(
                # Coil orders may wait, but never run twice.
                name="purchasing",
                default_deadline_ms=60000,
                max_queue=256,
                hedge=LATE_HEDGE,
                admission=gg.AdmissionPolicy(max_targets=8),
                rules=(
                    lookup("/coil-orders/"),
                    action("/coil-orders"),
                )),
            gg.Service(
                # Hoop orders of customers: never twice, never lost.
                name="order-desk",
                default_deadline_ms=15000,
                hedge=LATE_HEDGE,
                admission=gg.AdmissionPolicy(max_targets=8),
                rules=(
                    lookup("/hoop-orders/"),
                    action("/hoop-orders"),
                )),
        ),
        load_budget=gg.LoadBudget(
            bytes_per_second=2048,
            messages_per_second=25,
            cross_region_bytes_per_second=64),
        cross_region_bytes_per_second=65536,
        # Customers resend orders for up to three days.
        actions=gg.ActionPolicy(retention_ms=3 * gg.DAY_MS))


if __name__ == "__main__":
    print(gg.print_configuration(configuration(int(sys.argv[1]) if len(sys.argv) > 1 else 1)))
