# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A host accepts connections of peers again after it had no descriptor for one."""

import os
import resource
import socket
import subprocess
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store

DESCRIPTOR_LIMIT = 100
OPTIONS = parse_options()


def answers(address):
    """Returns whether the peer port accepts a connection and answers noise."""
    ip, port = address.split(":")
    with socket.create_connection((ip, int(port)), timeout=5) as connection:
        connection.sendall(b"\xff" * 64)
        try:
            return bool(connection.recv(100))
        except OSError:
            return False


def test_a_host_accepts_peers_after_it_had_no_descriptor():
    """Guards against a host that accepts no connection of a peer ever again once accepting one has failed."""
    store = Store()
    app = Endpoint("i-a1")
    store.put("op", "config", CONFIGURATION)
    store.put("servers", app.name, app.row("app"))
    hosts = Hosts(OPTIONS.bin, [store.address])
    try:
        hosts.wait_ready()
        hosts.processes[0].kill()
        hosts.processes[0].wait()
        settings = os.path.join(hosts.directory, "h0.ini")
        with open(settings, encoding="utf-8") as file:
            peer = next(line.split("= ")[1].strip() for line in file if line.startswith("peer ="))
        hosts.processes[0] = subprocess.Popen([os.path.join(OPTIONS.bin, "yokepondd"), "--config", settings], stdout=subprocess.DEVNULL,
                                              preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT)))
        hosts.wait_ready()
        assert answers(peer)
        ip, port = peer.split(":")
        strangers = [socket.create_connection((ip, int(port)), timeout=5) for _ in range(DESCRIPTOR_LIMIT + 20)]
        descriptors = f"/proc/{hosts.processes[0].pid}/fd"
        wait_until(lambda: len(os.listdir(descriptors)) >= DESCRIPTOR_LIMIT, "all descriptors to be in use")
        time.sleep(0.5)
        for stranger in strangers:
            stranger.close()
        wait_until(lambda: len(os.listdir(descriptors)) < DESCRIPTOR_LIMIT / 2, "the descriptors to be free")
        wait_until(lambda: answers(peer), "an answer to a peer")
    finally:
        store.closing.set()
        hosts.processes[0].kill()


if __name__ == "__main__":
    run_tests(globals())
