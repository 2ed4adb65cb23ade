"""Writes the configuration of gooseberrygap.

Build a Configuration and print it:

    import gooseberrygap as gg

    print(gg.print_configuration(gg.Configuration(
        version=1,
        services=(gg.Service(
            name="catalogue",
            rules=(gg.Rule(path_prefix="/", request_class="idempotent"),)),))))

A Configuration with faults raises ConfigurationError, which lists all of them
with their paths. docs/INTERFACE.md explains each key.
"""

import dataclasses
import json

from gooseberrygap.kinds import Flag, Integer, ListOf, Number, OneOf, Record, Text, row

# Largest integer that every JSON library keeps exactly.
MAX_INTEGER = 2**53 - 1
HOUR_MS = 3600 * 1000
DAY_MS = 24 * HOUR_MS
MAX_BYTES_PER_SECOND = 10**9

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"

STRATEGIES = ("probed_latency", "random", "round_robin", "least_in_flight", "two_choices",
              "expected_time")

NAME = Text("[A-Za-z0-9][A-Za-z0-9.:_-]{0,127}",
            "1 to 128 letters, digits, dots, colons, underscores and hyphens, "
            "beginning with a letter or digit")
SERVICE_NAME = Text("[a-z][a-z0-9-]{0,62}",
                    "1 to 63 lower-case letters, digits and hyphens, "
                    "beginning with a letter")
METHOD = Text("[A-Z]{0,16}", 'an upper-case HTTP method, or "" for every method')
PATH_PREFIX = Text("/[!-~]{0,1023}",
                   "a path of at most 1024 printable ASCII characters that begins "
                   "with / and has no space")


class ConfigurationError(ValueError):
    """A configuration with faults. `faults` holds pairs of a path and a message."""

    def __init__(self, faults):
        self.faults = tuple(faults)
        super().__init__("\n".join(f"{path or '(document)'}: {message}"
                                   for path, message in self.faults))


@dataclasses.dataclass(frozen=True)
class Rule:
    """Classifies the requests whose method and path match. `key_source` says
    where the idempotency key of a non-idempotent request comes from."""

    path_prefix: str = row(PATH_PREFIX)
    request_class: str = row(OneOf((IDEMPOTENT, NON_IDEMPOTENT)))
    method: str = row(METHOD, default="")
    key_source: str = row(OneOf(("header", "path")), default="header")


@dataclasses.dataclass(frozen=True)
class RetryPolicy:
    max_attempts: int = row(Integer(1, 16), default=4)
    budget_ratio: float = row(Number(0, 1), default=0.1)


@dataclasses.dataclass(frozen=True)
class HedgePolicy:
    enabled: bool = row(Flag(), default=True)
    quantile: float = row(Number(0.5, 0.999), default=0.95)
    budget_ratio: float = row(Number(0, 1), default=0.05)


@dataclasses.dataclass(frozen=True)
class AdmissionPolicy:
    """Which announced targets become members. No failure domains admits all."""

    max_targets: int = row(Integer(1, 10000), default=256)
    max_slots: int = row(Integer(1, 100000), default=1024)
    failure_domains: tuple = row(ListOf(NAME, 64), default=())


@dataclasses.dataclass(frozen=True)
class Service:
    """The first rule that matches a request decides its class."""

    name: str = row(SERVICE_NAME)
    rules: tuple = row(ListOf(Record(Rule), 1024))
    strategy: str = row(OneOf(STRATEGIES), default="probed_latency")
    default_deadline_ms: float = row(Number(1, HOUR_MS), default=2000)
    ramp_up_ms: float = row(Number(0, HOUR_MS), default=2000)
    max_queue: int = row(Integer(0, 100000), default=64)
    retry: RetryPolicy = row(Record(RetryPolicy), default=RetryPolicy())
    hedge: HedgePolicy = row(Record(HedgePolicy), default=HedgePolicy())
    admission: AdmissionPolicy = row(Record(AdmissionPolicy), default=AdmissionPolicy())


@dataclasses.dataclass(frozen=True)
class LoadBudget:
    """The agreed cost of measuring load, at each sending daemon."""

    bytes_per_second: float = row(Number(0, MAX_BYTES_PER_SECOND), default=4096)
    messages_per_second: float = row(Number(0, 10**6), default=50)
    cross_region_bytes_per_second: float = row(Number(0, MAX_BYTES_PER_SECOND), default=256)


@dataclasses.dataclass(frozen=True)
class ActionPolicy:
    """How long, and how many, idempotency keys are kept."""

    retention_ms: float = row(Number(1000, 30 * DAY_MS), default=DAY_MS)
    max_keys: int = row(Integer(1, 10**7), default=100000)
    max_answer_bytes: int = row(Integer(0, 1048576), default=65536)


@dataclasses.dataclass(frozen=True)
class PoisonPolicy:
    """When a request that crashes its targets is refused everywhere."""

    crashes: int = row(Integer(2, 100), default=2)
    window_ms: float = row(Number(1, DAY_MS), default=60 * 1000)
    hold_ms: float = row(Number(1, DAY_MS), default=10 * 60 * 1000)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """The whole document. `version` is one more than the version it follows.

    Raises ConfigurationError when anything in it is not allowed.
    """

    version: int = row(Integer(1, MAX_INTEGER))
    services: tuple = row(ListOf(Record(Service), 4096, unique="name"))
    load_budget: LoadBudget = row(Record(LoadBudget), default=LoadBudget())
    cross_region_bytes_per_second: float = row(
        Number(0, MAX_BYTES_PER_SECOND), default=262144)
    actions: ActionPolicy = row(Record(ActionPolicy), default=ActionPolicy())
    poison: PoisonPolicy = row(Record(PoisonPolicy), default=PoisonPolicy())

    def __post_init__(self):
        faults = tuple(Record(Configuration).faults(self, ""))
        if faults:
            raise ConfigurationError(faults)


def print_configuration(configuration):
    """Returns the configuration as the JSON that the system accepts.

    Raises ConfigurationError when the argument is not a Configuration.
    """
    kind = Record(Configuration)
    faults = tuple(kind.faults(configuration, ""))
    if faults:
        raise ConfigurationError(faults)
    return json.dumps(kind.to_json(configuration), indent=2, sort_keys=True)


def print_schema():
    """Returns the JSON schema; configuration.schema.json holds this text."""
    schema = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "gooseberrygap configuration",
        "$comment": "Written by 'python3 -m gooseberrygap'. The system also refuses "
                    "duplicate keys and duplicate service names, which a schema "
                    "cannot express.",
    }
    schema.update(Record(Configuration).schema())
    return json.dumps(schema, indent=2) + "\n"
