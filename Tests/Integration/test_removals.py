# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""All hosts know which endpoints have left, while hosts are killed and start again.

Guards against hosts that hold the newest version of the endpoints and endpoints that have left: a host that started told others that
nothing had changed since versions from before its start. See docs/incidents/copies-that-lack-removals.md.
"""

import random
import threading
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store

HOSTS = 12
ENDPOINTS = 24
ROUNDS = 6
HEARTBEAT_SECONDS = 1.2
# The platform expects hosts to know what left after this time.
SETTLED_SECONDS = 3.0
SEED = 1


class Heartbeats:
    """Writes the rows of the endpoints that are present again and again, as endpoints do."""

    def __init__(self, store, endpoints):
        self.store = store
        self.present = {endpoint.name: endpoint for endpoint in endpoints}
        self.lock = threading.Lock()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.write()
        self.thread.start()

    def write(self):
        for name, endpoint in list(self.present.items()):
            with self.lock:
                if name in self.present:
                    self.store.put("servers", name, {**endpoint.row("app"), "sequence": self.store.version})

    def run(self):
        while not self.ended.wait(HEARTBEAT_SECONDS):
            self.write()

    def leave(self, name):
        """Removes the row of an endpoint, which serves on."""
        with self.lock:
            del self.present[name]
            self.store.remove("servers", name)

    def end(self):
        self.ended.set()
        self.thread.join()


def known_endpoints(hosts, index):
    """Returns how many endpoints a host has in force, and a hash of its records."""
    applied = [entry for entry in hosts.log(index) if entry["event"] == "configuration-applied"]
    return (applied[-1]["endpoints"], applied[-1]["endpoints-hash"]) if applied else (0, "")


def restart_some_while_endpoints_leave(hosts, heartbeats, draw):
    killed = draw.sample(range(HOSTS), 3)
    leaving = draw.sample(sorted(heartbeats.present), 2)
    for index, name in zip(killed, leaving + [None]):
        hosts.processes[index].kill()
        hosts.processes[index].wait()
        if name:
            heartbeats.leave(name)
        time.sleep(0.1)
        hosts.start(index)


def test_all_hosts_know_which_endpoints_have_left():
    draw = random.Random(SEED)
    store = Store()
    endpoints = [Endpoint(f"i-{number}") for number in range(ENDPOINTS)]
    heartbeats = Heartbeats(store, endpoints)
    store.put("op", "config", CONFIGURATION)
    hosts = Hosts(parse_options().bin, [store.address] * HOSTS, "[platform]\nfollowers = 3\n")
    try:
        hosts.wait_ready()
        wait_until(lambda: {known_endpoints(hosts, index)[0] for index in range(HOSTS)} == {ENDPOINTS}, "all endpoints at all hosts", 60)
        # Hosts that all started just now do not know yet whether the store has lost endpoints.
        time.sleep(2 * SETTLED_SECONDS)
        for number in range(ROUNDS):
            restart_some_while_endpoints_leave(hosts, heartbeats, draw)
            hosts.wait_ready()
            time.sleep(SETTLED_SECONDS)
            known = {index: known_endpoints(hosts, index) for index in range(HOSTS)}
            assert len(set(known.values())) == 1, f"round {number}: {known}"
            assert known[0][0] == len(heartbeats.present), f"round {number}: {known[0]} of {len(heartbeats.present)}"
        assert hosts.stop() == [0] * HOSTS
    finally:
        heartbeats.end()
        store.closing.set()
        for process in hosts.processes:
            process.kill()


if __name__ == "__main__":
    run_tests(globals())
