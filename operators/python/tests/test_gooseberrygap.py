import dataclasses
import json
import pathlib
import subprocess
import sys
import unittest

PYTHON = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(PYTHON))

import gooseberrygap as gg  # noqa: E402

RULE = gg.Rule(path_prefix="/", request_class=gg.IDEMPOTENT)


def paths_of(error):
    return [path for path, _ in error.faults]


class FaultsTest(unittest.TestCase):

    def faults_of(self, **members):
        with self.assertRaises(gg.ConfigurationError) as raised:
            gg.Configuration(**{"version": 1, "services": (), **members})
        return raised.exception

    def test_each_fault_names_its_path(self):
        """Guards against a value that only the daemon refuses, or whose path is missing."""
        service = gg.Service(name="a", rules=(RULE,))

        def in_service(**members):
            return {"services": (dataclasses.replace(service, **members),)}

        cases = [
            ({"version": 0}, "version"),
            ({"version": True}, "version"),
            ({"version": 1.5}, "version"),
            ({"services": "a"}, "services"),
            ({"services": ({"name": "a"},)}, "services[0]"),
            ({"services": (service, service)}, "services[1].name"),
            ({"cross_region_bytes_per_second": float("nan")}, "cross_region_bytes_per_second"),
            ({"poison": gg.PoisonPolicy(crashes=1)}, "poison.crashes"),
            (in_service(name="-"), "services[0].name"),
            (in_service(name="a\n"), "services[0].name"),
            (in_service(strategy="fastest"), "services[0].strategy"),
            (in_service(hedge=gg.HedgePolicy(enabled=1)), "services[0].hedge.enabled"),
            (in_service(rules=(RULE, gg.Rule("x", gg.IDEMPOTENT))),
             "services[0].rules[1].path_prefix"),
            (in_service(rules=(gg.Rule("/", "lookup"),)), "services[0].rules[0].request_class"),
        ]
        for members, path in cases:
            with self.subTest(path=path, members=members):
                error = self.faults_of(**members)
                self.assertEqual(paths_of(error), [path])
                self.assertIn(f"{path}: found ", str(error))
                self.assertIn("allowed: ", str(error))

    def test_all_faults_at_once(self):
        """Guards against a check that stops at the first fault."""
        error = self.faults_of(version=0, actions=gg.ActionPolicy(max_keys=0, retention_ms=0))
        self.assertEqual(paths_of(error), ["version", "actions.retention_ms", "actions.max_keys"])


class PrintTest(unittest.TestCase):

    def test_values_are_immutable(self):
        """Guards against a configuration that changes after it was checked."""
        configuration = gg.Configuration(version=1, services=())
        with self.assertRaises(dataclasses.FrozenInstanceError):
            configuration.version = 0

    def test_prints_every_key(self):
        """Guards against a default that differs between library versions and daemons."""
        document = json.loads(gg.print_configuration(gg.Configuration(
            version=2, services=[gg.Service(name="a", rules=[RULE])])))
        self.assertEqual(document["services"][0]["rules"][0], {
            "key_source": "header", "method": "", "path_prefix": "/",
            "request_class": "idempotent"})
        self.assertEqual(set(document), {
            "version", "services", "load_budget", "cross_region_bytes_per_second",
            "actions", "poison"})

    def test_refuses_other_values(self):
        """Guards against printing something that was never checked."""
        with self.assertRaises(gg.ConfigurationError):
            gg.print_configuration({"version": 1, "services": []})

    def test_schema_file_is_current(self):
        """Guards against a schema file that differs from the library's rows."""
        self.assertEqual((PYTHON / "configuration.schema.json").read_text(), gg.print_schema())

    def test_examples_print(self):
        """Guards against example scripts that no longer run, or miss a service."""
        expected = {"periyar": {"assay-query", "certification", "grade-reports"},
                    "quesada": {"catalogue", "purchasing", "order-desk"}}
        for name, services in expected.items():
            result = subprocess.run(
                [sys.executable, str(PYTHON / "examples" / f"{name}.py"), "7"],
                env={"PYTHONPATH": str(PYTHON)}, capture_output=True, text=True, check=True)
            document = json.loads(result.stdout)
            self.assertEqual(document["version"], 7)
            self.assertEqual({service["name"] for service in document["services"]}, services)


if __name__ == "__main__":
    unittest.main()
