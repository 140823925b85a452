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


def only(name):
    """CppUTest's argument to run just the test called @p name."""
    group, test = name.split(".")
    return f"TEST({group}, {test})"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--list", default=os.path.join(TOP, "KNOWN-RED.txt"))
    parser.add_argument("program")
    parser.add_argument("arguments", nargs=argparse.REMAINDER)
    options = parser.parse_args()
    names = subprocess.run([options.program, "-ln"], capture_output=True, text=True, check=True).stdout.split()
    red = {name: cause for name, cause in listed(options.list).items() if name in names}
    excluded = [argument for name in red for argument in ("-xsn", name.split(".")[1])]
    failed = subprocess.run([options.program, *options.arguments, *excluded], check=False).returncode != 0
    # CppUTest leaves tests out by the second part of their name alone: those of other groups are run here.
    for name in names:
        if name not in red and name.split(".")[1] in {other.split(".")[1] for other in red}:
            failed = subprocess.run([options.program, *options.arguments, only(name)], check=False).returncode != 0 or failed
    for name, cause in red.items():
        run = subprocess.run([options.program, only(name)], capture_output=True, text=True, check=False)
        if f"Failure in {only(name)}" in run.stdout:
            print(f"known red: {name}: {cause}")
        elif run.returncode == 0:
            print(f"known red: {name} passes: take its line out of KNOWN-RED.txt")
            failed = True
        else:
            print(f"known red: {name} ended otherwise than by its own check:\n{run.stdout}{run.stderr}")
            failed = True
    return 1 if failed else 0


sys.exit(main())
