# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Utilities/knownred.py tolerates failures of exactly the listed tests; other failures, listed tests that pass, and crashes fail the run."""

import argparse
import os
import subprocess
import sys
import tempfile

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# A stand-in for a CppUTest program: its tests pass, fail or crash as `tests` says. With several -xsn options it excludes no test, as
# CppUTest does, which runs every test whose name differs from at least one of them.
PROGRAM = """#!{python}
import sys
tests = {tests!r}
arguments = sys.argv[1:]
if "-ln" in arguments:
    print(" ".join(tests))
    sys.exit(0)
excluded = [arguments[i + 1] for i, a in enumerate(arguments) if a == "-xsn"]
only = [a[5:-1].replace(", ", ".") for a in arguments if a.startswith("TEST(")]
failed = 0
for name, result in tests.items():
    if (len(excluded) == 1 and name.split(".")[1] in excluded) or (only and name not in only):
        continue
    if result == "crash":
        sys.exit(139)
    if result == "fail":
        group, test = name.split(".")
        print(f"x.cpp:1: error: Failure in TEST({{group}}, {{test}})")
        failed += 1
print("Errors (" if failed else "OK (")
sys.exit(failed)
"""


def run(tests, red):
    with tempfile.TemporaryDirectory() as folder:
        program = os.path.join(folder, "program")
        with open(program, "w", encoding="utf-8") as file:
            file.write(PROGRAM.format(python=sys.executable, tests=tests))
        os.chmod(program, 0o755)
        listed = os.path.join(folder, "red.txt")
        with open(listed, "w", encoding="utf-8") as file:
            file.write(red)
        command = [sys.executable, os.path.join(TOP, "Utilities", "knownred.py"), "--list", listed, program]
        return subprocess.run(command, capture_output=True, text=True, check=False)


def check(condition, what):
    if not condition:
        sys.exit(f"failed: {what}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", help="not used")
    parser.parse_args()
    red = "test Group.bad: some cause; issue 1\nlinter x: y\n"
    check(run({"Group.good": "pass"}, "").returncode == 0, "nothing listed, nothing failed")
    check(run({"Group.good": "pass", "Group.bad": "fail"}, "").returncode != 0, "a failure that is not listed fails")
    passed = run({"Group.good": "pass", "Group.bad": "fail"}, red)
    check(passed.returncode == 0 and "known red: Group.bad: some cause; issue 1" in passed.stdout, "a listed failure is printed")
    check(run({"Group.other": "fail", "Group.bad": "fail"}, red).returncode != 0, "an unlisted failure beside a listed one fails")
    check(run({"Group.badly": "fail", "Group.bad": "fail"}, red).returncode != 0, "a longer name is another test")
    check(run({"Other.bad": "fail", "Group.bad": "fail"}, red).returncode != 0, "the same name in another group is another test")
    check(run({"Other.bad": "pass", "Group.bad": "fail"}, red).returncode == 0, "a passing test of that name passes")
    check(run({"Group.bad": "pass"}, red).returncode != 0, "a listed test that passes fails")
    check(run({"Group.bad": "crash"}, red).returncode != 0, "a listed test that crashes fails")
    check(run({"Group.good": "pass"}, red).returncode == 0, "a listed test of another program is ignored")
    two = red + "test Group.worse: other cause; issue 2\n"
    check(run({"Group.bad": "fail", "Group.worse": "fail"}, two).returncode == 0, "two listed failures are tolerated")
    check(run({"Group.bad": "fail", "Group.worse": "pass"}, two).returncode != 0, "one of two that passes fails")
    check(run({"Group.bad": "fail", "Group.worse": "crash"}, two).returncode != 0, "one of two that crashes fails")
    check(run({"Group.good": "pass"}, "test bad\n").returncode != 0, "a malformed line fails")
    sometimes = "sometimes Group.bad: third cause; issue 3\n"
    for result in ("pass", "fail"):
        tolerated = run({"Group.good": "pass", "Group.bad": result}, sometimes)
        check(tolerated.returncode == 0 and "Group.bad" in tolerated.stdout and "third cause" in tolerated.stdout, f"one that fails sometimes: {result}")
    check(run({"Group.other": "fail", "Group.bad": "fail"}, sometimes).returncode != 0, "an unlisted failure beside one that fails sometimes")
    check(run({"Group.bad": "crash"}, sometimes).returncode != 0, "one that fails sometimes and crashes fails")
    check(run({"Group.good": "pass"}, "sometimes bad\n").returncode != 0, "a malformed line of that kind fails")
    print("19 passed, 0 failed")


main()
