"""Prints the JSON schema of the configuration."""

import sys

import gooseberrygap

sys.stdout.write(gooseberrygap.print_schema())
