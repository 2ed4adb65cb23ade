#!/usr/bin/env python3
"""Configuration of Periyar Assay Analytics: tail latency counts most.

Run it with PYTHONPATH=operators/python; the argument is the version number.
"""

import sys

import gooseberrygap as gg


def lookup(path_prefix):
    return gg.Rule(method="GET", path_prefix=path_prefix, request_class=gg.IDEMPOTENT)


def action(path_prefix, method="POST", key_source="header"):
    return gg.Rule(method=method, path_prefix=path_prefix,
                   request_class=gg.NON_IDEMPOTENT, key_source=key_source)


# A slow lookup holds up a blast decision, so hedges start earlier and may use a
# larger share of traffic than by default.
EARLY_HEDGE = gg.HedgePolicy(quantile=0.9, budget_ratio=0.1)

# Actions are never hedged; their callers wait longer.
ACTION_DEADLINE_MS = 10000


def configuration(version):
    return gg.Configuration(
        version=version,
        services=(
            gg.Service(
                name="assay-query",
                default_deadline_ms=1000,
                hedge=EARLY_HEDGE,
                admission=gg.AdmissionPolicy(max_targets=10),
                rules=(
                    lookup("/samples/"),
                    lookup("/reference-standards/"),
                    lookup("/chain-of-custody/"),
                )),
            gg.Service(
                name="certification",
                default_deadline_ms=ACTION_DEADLINE_MS,
                hedge=EARLY_HEDGE,
                admission=gg.AdmissionPolicy(max_targets=8),
                rules=(
                    lookup("/batches/"),
                    # The path names the batch, which is certified once.
                    action("/batches/", method="PUT", key_source="path"),
                )),
            gg.Service(
                name="grade-reports",
                default_deadline_ms=ACTION_DEADLINE_MS,
                hedge=EARLY_HEDGE,
                admission=gg.AdmissionPolicy(max_targets=8),
                rules=(
                    lookup("/reports/"),
                    action("/reports"),
                )),
        ),
        load_budget=gg.LoadBudget(
            bytes_per_second=8192,
            messages_per_second=100,
            cross_region_bytes_per_second=512))


if __name__ == "__main__":
    print(gg.print_configuration(configuration(int(sys.argv[1]) if len(sys.argv) > 1 else 1)))
