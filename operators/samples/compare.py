#!/usr/bin/env python3
"""Checks that the JSON schema and gooseberrygapctl agree on documents.

Documents are the samples beside this file, and variants of one full document:
each key left out, of another type, at its bounds and beyond them, and a key
that does not exist. Guards against a range, a default or a key that differs
between the operators' library and the daemons.

Usage: compare.py GOOSEBERRYGAPCTL
"""

import copy
import json
import pathlib
import subprocess
import sys

import jsonschema

SAMPLES = pathlib.Path(__file__).resolve().parent
SCHEMA = json.loads((SAMPLES.parent / "python" / "configuration.schema.json").read_text())
VALIDATOR = jsonschema.Draft202012Validator(SCHEMA)

# The first and last characters of the usual classes, and their neighbours.
EDGES = "\0\t\n\x1f !-./09:;@AMZ[_`amz{~\x7f\x80\u00e9"

# Tells a step of a path into an array's elements from a key.
FIRST = 0


class Comparison:

    def __init__(self, tool):
        self.tool = tool
        self.compared = 0
        self.failures = []

    def tool_accepts(self, text):
        result = subprocess.run([self.tool, "config", "check", "-"], input=text.encode(),
                                capture_output=True, check=False)
        if result.returncode not in (0, 1):
            self.failures.append(f"exit code {result.returncode} for {text[:200]}")
        return result.returncode == 0

    def check(self, name, text, expected=None):
        """Compares the two verdicts, and with the expected one if it is given."""
        self.compared += 1
        schema = VALIDATOR.is_valid(json.loads(text))
        tool = self.tool_accepts(text)
        if schema != tool or (expected is not None and tool != expected):
            self.failures.append(f"{name}: schema {schema}, tool {tool}, expected {expected}")

    def check_refused_by_tool(self, name, text):
        self.compared += 1
        if self.tool_accepts(text):
            self.failures.append(f"{name}: the tool accepts it")


def example_of(schema):
    """Returns a value that the schema accepts, with every key."""
    if "properties" in schema:
        return {key: example_of(value) for key, value in schema["properties"].items()}
    if "items" in schema:
        return [example_of(schema["items"])]
    if "enum" in schema:
        return schema["enum"][0]
    if "minimum" in schema:
        return schema["minimum"]
    if schema["type"] == "boolean":
        return True
    return "/x" if "/" in schema["pattern"] else "GET" if "A-Z]{" in schema["pattern"] else "x"


def places_of(schema, path=()):
    """Yields the path and the schema of every value below the root."""
    for key, value in schema.get("properties", {}).items():
        yield path + (key,), value
        yield from places_of(value, path + (key,))
    if "items" in schema:
        yield path + (FIRST,), schema["items"]
        yield from places_of(schema["items"], path + (FIRST,))


def variants_of(schema):
    """Yields values to put in place of one that the schema describes."""
    yield from (None, True, 0, -1, 0.5, 1.5, "", "x", "-", "GET", "/", "a\n", [], {}, [[]], [{}])
    yield from schema.get("enum", ())
    if "minimum" in schema:
        for bound in (schema["minimum"], schema["maximum"]):
            yield from (bound, bound - 1, bound + 1, bound * 1.001, str(bound))
    if "maxItems" in schema and schema["items"].get("type") == "string":
        yield from (["x"] * schema["maxItems"], ["x"] * (schema["maxItems"] + 1))
    if "pattern" in schema:
        for length in (16, 17, 63, 64, 128, 129, 1024, 1025):
            yield from ("a" * length, "A" * length, "/" * length)
        yield from (character + "b" for character in EDGES)
        yield from ("b" + character for character in EDGES)
        yield from ("/" + character for character in EDGES)


def parent_of(document, path):
    for step in path[:-1]:
        document = document[step]
    return document


def changed(document, path, value):
    document = copy.deepcopy(document)
    parent_of(document, path)[path[-1]] = value
    return document


def compare_variants(comparison):
    whole = example_of(SCHEMA)
    comparison.check("example", json.dumps(whole), expected=True)
    for path, schema in places_of(SCHEMA):
        for value in variants_of(schema):
            comparison.check(f"{path} = {value!r}", json.dumps(changed(whole, path, value)))
        without = copy.deepcopy(whole)
        del parent_of(without, path)[path[-1]]
        comparison.check(f"without {path}", json.dumps(without))
        if "properties" in schema:
            comparison.check(f"unknown key in {path}",
                             json.dumps(changed(whole, path + ("unknown",), 1)), expected=False)


def main():
    comparison = Comparison(sys.argv[1])
    for folder, expected in (("valid", True), ("invalid", False)):
        for path in sorted((SAMPLES / folder).glob("*.json")):
            comparison.check(path.name, path.read_text(), expected)
    for path in sorted((SAMPLES / "invalid_beyond_schema").glob("*.json")):
        comparison.check_refused_by_tool(path.name, path.read_text())
    compare_variants(comparison)
    print(f"{comparison.compared} documents compared")
    for failure in comparison.failures:
        print(failure, file=sys.stderr)
    return 1 if comparison.failures else 0


if __name__ == "__main__":
    sys.exit(main())
