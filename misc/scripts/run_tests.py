#!/usr/bin/env python3
"""Runs ctest and passes over the tests listed in KNOWN-RED.txt, which it prints.

A line of KNOWN-RED.txt is "TEST PROGRAM/TEST CASE | command and seed | what was seen
| issue"; three at most, those of the test program "crowd" not counted.
The named test cases are left out of their program's run and said so.
"""

import os
import pathlib
import subprocess
import sys

MOST_KNOWN_RED = 3
# Each crowd of clients that a host does not outlive has a line of its own.
UNCOUNTED_PROGRAM = "crowd/"


def read_known_red(root):
    path = root / "KNOWN-RED.txt"
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines()]
    return [line for line in lines if line and not line.startswith("#")]


def main():
    root = pathlib.Path(__file__).resolve().parents[2]
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else root / "build")
    known_red = read_known_red(root)
    counted = [line for line in known_red if not line.startswith(UNCOUNTED_PROGRAM)]
    if len(counted) > MOST_KNOWN_RED:
        print(f"KNOWN-RED.txt lists {len(counted)} tests; {MOST_KNOWN_RED} are allowed")
        return 1
    for line in known_red:
        print(f"known red, not run: {line}")
    environment = dict(os.environ)
    if known_red:
        # doctest reads its filters from the command line only, so the test
        # programs take them from this variable (tests/test_main.cc).
        cases = [line.split("|")[0].strip().split("/", 1)[1] for line in known_red]
        environment["DAMASKTACK_KNOWN_RED"] = ",".join(cases)
    return subprocess.run(
        ["ctest", "--test-dir", str(build), "--output-on-failure"], env=environment, check=False
    ).returncode


if __name__ == "__main__":
    sys.exit(main())
