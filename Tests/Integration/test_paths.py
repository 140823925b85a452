# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Hosts that have lost their paths to the endpoints, while callers, the store and the other hosts reach them."""

import collections
import threading
import time

from cutendpoint import CutEndpoint
from fleet import parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Hosts, Store

IPS = ["127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14"]
MODELS, APPS = 5, 3
CONTACT_SECONDS = 2.0  # time after a cut from which hosts must serve as before
REQUEST_PERIOD = 0.08  # of each host's callers


class Site:
    """Four hosts, which reach the endpoints from addresses of their own, and the endpoints of two pools."""

    def __enter__(self):
        self.store = Store()
        self.models = [CutEndpoint(f"i-model-{number}") for number in range(MODELS)]
        self.apps = [CutEndpoint(f"i-app-{number}") for number in range(APPS)]
        self.endpoints = [*self.models, *self.apps]
        self.number = 0
        self.hosts = Hosts(parse_options().bin, [self.store.address] * len(IPS), ips=IPS)
        self.store.put("op", "config", CONFIGURATION)
        for service, endpoints in (("model", self.models), ("app", self.apps)):
            for endpoint in endpoints:
                self.store.put("servers", endpoint.name, endpoint.row(service))
        self.hosts.wait_ready()
        for index in range(len(IPS)):
            wait_until(lambda index=index: self.first_try(index, "/once/x") == 200 and self.first_try(index, "/stream/x") == 200, "endpoints")
        return self

    def __exit__(self, *_):
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def cut(self, hosts, endpoints=None):
        for endpoint in endpoints or self.endpoints:
            endpoint.cut([IPS[index] for index in hosts])

    def first_try(self, index, path):
        self.number += 1
        return self.hosts.send(index, "POST", path, f"first-{index}-{self.number}").status

    def play(self, seconds):
        """Sends requests of both kinds to all hosts for `seconds`; returns the number of statuses by host and status."""
        counts = [collections.Counter() for _ in IPS]
        threads = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for index in range(len(IPS)):
                for path in ("/once/x", "/stream/x"):
                    threads.append(threading.Thread(target=lambda index=index, path=path: counts[index].update([self.first_try(index, path)])))
                    threads[-1].start()
            time.sleep(REQUEST_PERIOD)
        for thread in threads:
            thread.join()
        return counts

    def assert_none_ran_twice(self):
        for endpoint in self.apps:
            names = collections.Counter(name for name, _ in endpoint.arrivals)
            assert not names or max(names.values()) == 1, names.most_common(2)
        everywhere = collections.Counter(name for endpoint in self.apps for name, _ in endpoint.arrivals)
        assert max(everywhere.values()) == 1, everywhere.most_common(2)


def share(counts):
    return counts[200] / max(1, sum(counts.values()))


def assert_all_are_served(site, cut_off):
    """Asserts the aim: hosts that are cut off serve two thirds as often as the others at least, and those do not suffer."""
    time.sleep(CONTACT_SECONDS)
    counts = site.play(5.0)
    print("statuses by host:", [dict(entry) for entry in counts], flush=True)
    others = [share(entry) for index, entry in enumerate(counts) if index not in cut_off]
    for index in cut_off:
        assert share(counts[index]) >= min(others) * 2 / 3, (index, counts)
    assert min(others) >= 0.98, counts
    site.assert_none_ran_twice()


# Guards against a host without paths to endpoints that answers 503 to its callers, and whose failures eject the endpoints for all hosts.
def test_hosts_without_paths_serve_their_callers():
    with Site() as site:
        site.cut([0, 1])
        assert_all_are_served(site, [0, 1])


if __name__ == "__main__":
    run_tests(globals())
