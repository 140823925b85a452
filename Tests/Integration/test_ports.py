# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Fleets that start at the same time get different ports, outside the range for outgoing connections."""

import subprocess
import sys

from fleet import TOP, run_tests

SCRIPT = f"""
import sys
sys.path.insert(0, {str(TOP / "Utilities")!r})
import localfleet
print(*localfleet.reserve_ports(400), flush=True)
sys.stdin.readline()
"""


def test_ports_are_unique():
    processes = [subprocess.Popen([sys.executable, "-c", SCRIPT], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) for _ in range(8)]
    ports = [int(port) for process in processes for port in process.stdout.readline().split()]
    for process in processes:
        process.communicate("\n")
    assert len(ports) == 3200 and len(set(ports)) == 3200, len(set(ports))
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
        first_outgoing = int(file.read().split()[0])
    assert max(ports) < first_outgoing


if __name__ == "__main__":
    run_tests(globals())
