#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Runs a CppUTest program and tolerates the failures of exactly the tests that KNOWN-RED.txt lists.

A line that begins with `test GROUP.NAME:` lists a test that fails because of a known fault. All other tests must pass. A listed test
must fail: if it passes, the run fails, so that its line gets removed from the list. A line that begins with `sometimes GROUP.NAME:` lists
one that fails in some runs only, by a fault that runs have shown; it may pass.

Usage: knownred.py [--list FILE] PROGRAM [ARGUMENT...]
"""

import argparse
import os
import re
import subprocess
import sys

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LINE = re.compile(r"(?:test|sometimes) (\w+\.\w+): (.+)")
FAILURE = re.compile(r"Failure in TEST\((\w+), (\w+)\)")
SUMMARY = re.compile(r"^(OK|Errors) \(", re.MULTILINE)


def read_list(path, kind="test"):
    """Returns the tests whose lines begin with `kind` and, for each, the text after the colon."""
    tests = {}
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            if line.startswith(f"{kind} "):
                match = LINE.fullmatch(line.strip())
                if match is None:
                    sys.exit(f"{path}: not of the form `{kind} GROUP.NAME: cause; issue`: {line.strip()}")
                tests[match[1]] = match[2]
    return tests


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--list", default=os.path.join(TOP, "KNOWN-RED.txt"))
    parser.add_argument("program")
    parser.add_argument("arguments", nargs=argparse.REMAINDER)
    options = parser.parse_args()
    names = subprocess.run([options.program, "-ln"], capture_output=True, text=True, check=True).stdout.split()
    known_failures = {name: cause for name, cause in read_list(options.list).items() if name in names}
    sometimes = {name: cause for name, cause in read_list(options.list, "sometimes").items() if name in names}
    run = subprocess.run([options.program, *options.arguments], capture_output=True, text=True, check=False)
    print(run.stdout, run.stderr, sep="\n", flush=True)
    failing = {f"{match[1]}.{match[2]}" for match in FAILURE.finditer(run.stdout)}
    failed = bool(failing - set(known_failures) - set(sometimes))
    for name in sorted(failing - set(known_failures) - set(sometimes)):
        print(f"failed: {name}")
    # A program that exits before its summary, or fails without naming a failed test, may not have run all tests.
    if SUMMARY.search(run.stdout) is None or (run.returncode != 0 and not failing):
        print(f"the program did not finish its tests: exit code {run.returncode}")
        failed = True
    for name, cause in known_failures.items():
        if name in failing:
            print(f"known red: {name}: {cause}")
        else:
            print(f"known red: {name} did not fail: remove its line from KNOWN-RED.txt")
            failed = True
    for name, cause in sometimes.items():
        print(f"known red, sometimes: {name} {'failed' if name in failing else 'passed'}: {cause}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
