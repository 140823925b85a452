#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Runs a CppUTest program, passing over exactly the tests that KNOWN-RED.txt names.

A line of the list that begins `test GROUP.NAME:` names a test that fails for a fault that is not mended yet. All other tests must
pass. A listed one must fail as long as it is listed: one that passes fails the run, so that its line is taken out.

Usage: knownred.py [--list FILE] PROGRAM [ARGUMENT...]
"""

import argparse
import os
import re
import subprocess
import sys

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LINE = re.compile(r"test (\w+\.\w+): (.+)")
FAILURE = re.compile(r"Failure in TEST\((\w+), (\w+)\)")
SUMMARY = re.compile(r"^(OK|Errors) \(", re.MULTILINE)


def listed(path):
    """The tests that @p path names, with the rest of their lines."""
    tests = {}
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            if line.startswith("test "):
                match = LINE.fullmatch(line.strip())
                if match is None:
                    sys.exit(f"{path}: not of the form `test GROUP.NAME: cause; issue`: {line.strip()}")
                tests[match[1]] = match[2]
    return tests


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--list", default=os.path.join(TOP, "KNOWN-RED.txt"))
    parser.add_argument("program")
    parser.add_argument("arguments", nargs=argparse.REMAINDER)
    options = parser.parse_args()
    names = subprocess.run([options.program, "-ln"], capture_output=True, text=True, check=True).stdout.split()
    red = {name: cause for name, cause in listed(options.list).items() if name in names}
    run = subprocess.run([options.program, *options.arguments], capture_output=True, text=True, check=False)
    print(run.stdout, run.stderr, sep="\n", flush=True)
    failing = {f"{match[1]}.{match[2]}" for match in FAILURE.finditer(run.stdout)}
    failed = bool(failing - set(red))
    for name in sorted(failing - set(red)):
        print(f"failed: {name}")
    # A program that ends before its summary, or fails without naming a test, has not run them all.
    if SUMMARY.search(run.stdout) is None or (run.returncode != 0 and not failing):
        print(f"the program ended otherwise than by its tests, with {run.returncode}")
        failed = True
    for name, cause in red.items():
        if name in failing:
            print(f"known red: {name}: {cause}")
        else:
            print(f"known red: {name} did not fail: take its line out of KNOWN-RED.txt")
            failed = True
    return 1 if failed else 0


sys.exit(main())
