# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Hosts that have lost their paths to the endpoints, while callers, the store and the other hosts reach them."""

import collections
import threading
import time

from cutendpoint import CutEndpoint
from fleet import in_background, localfleet, parse_options, run_tests, wait_until
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
        tunnels = localfleet.reserve_ports(1)[0]
        self.hosts = Hosts(parse_options().bin, [self.store.address] * len(IPS), f"[peers]\ntunnel-port = {tunnels}\n", IPS)
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

    def first_try(self, index, path, deadline_ms=5000):
        self.number += 1
        return self.hosts.send(index, "POST", path, f"first-{index}-{self.number}", **{"X-Deadline-Ms": str(deadline_ms)}).status

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

    def streams(self, index, seconds):
        """Sends streams to one host for `seconds`; returns the number of responses by status, 0 for a cut one."""
        counts = collections.Counter()
        threads = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            threads.append(threading.Thread(target=lambda: counts.update([self.first_try(index, "/stream/x")])))
            threads[-1].start()
            time.sleep(REQUEST_PERIOD)
        for thread in threads:
            thread.join()
        return counts

    def connections_from(self, hosts):
        """Returns the number of connections that endpoints accepted from the hosts."""
        return sum(endpoint.accepted[IPS[index]] for endpoint in self.endpoints for index in hosts)

    def assert_none_ran_twice(self):
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


# Guards against hosts that keep using other hosts, or leave endpoints ejected, after their paths are back.
def test_paths_are_used_again():
    with Site() as site:
        site.cut([0, 1])
        time.sleep(CONTACT_SECONDS)
        site.play(1.0)
        site.cut([])
        wait_until(lambda: any(entry["event"] == "path-back" for entry in site.hosts.log(0)), "a path that is back", 5)
        time.sleep(CONTACT_SECONDS)
        before = site.connections_from([0, 1])
        counts = site.play(2.0)
        assert min(share(entry) for entry in counts) >= 0.98, counts
        tried = sum(sum(entry.values()) for entry in counts[:2])
        assert site.connections_from([0, 1]) - before >= tried * 0.9, (before, tried)


# Guards against endpoints that are ejected for long since all hosts had lost their paths to them.
def test_all_hosts_lose_their_paths():
    with Site() as site:
        site.cut(range(len(IPS)))
        time.sleep(CONTACT_SECONDS)
        site.play(3.0)
        site.cut([])
        time.sleep(CONTACT_SECONDS)
        counts = site.play(2.0)
        print("statuses by host:", [dict(entry) for entry in counts], flush=True)
        assert min(share(entry) for entry in counts) >= 0.98, counts
        site.assert_none_ran_twice()


# Guards against endpoints that are ejected since the runs of a host broke off when it lost its paths.
def test_runs_that_break_with_the_paths_eject_nothing():
    with Site() as site:
        # Longer than the silence after which a connection is given up: what an endpoint sends again still arrives behind this cut.
        for endpoint in site.models:
            endpoint.event_pause = 8.0
        threads = [in_background(site.first_try, 0, "/stream/x", 20_000)[0] for _ in range(MODELS * 2)]
        time.sleep(0.5)
        site.cut([0])
        for thread in threads:
            thread.join()
        steps = [step for entry in site.hosts.log(0) if entry["event"] == "request-ended" for step in entry.get("steps", [])]
        assert any("ended path-lost" in step for step in steps) and not any("ended failed" in step for step in steps), steps
        ejections = [entry for index in range(len(IPS)) for entry in site.hosts.log(index) if entry["event"] == "endpoint-ejected"]
        assert not [entry for entry in ejections if entry["failures"] > 0], ejections


# Guards against an endpoint that is gone and stays in use since each home takes the failure for its own path's.
def test_an_endpoint_that_is_gone_is_noticed():
    with Site() as site:
        site.apps[0].stop()
        site.models[0].stop()
        site.play(0.5)
        counts = site.play(3.0)
        print("statuses by host:", [dict(entry) for entry in counts], flush=True)
        assert min(share(entry) for entry in counts) >= 0.98, counts
        ejections = [entry for index in range(len(IPS)) for entry in site.hosts.log(index) if entry["event"] == "endpoint-ejected"]
        # Others may be ejected because they were slow on a busy system.
        assert len({entry["endpoint"] for entry in ejections if entry["result"] == "unreachable"}) == 2, ejections


# Guards against a host without paths that depends on one helper.
def test_helpers_are_killed():
    with Site() as site:
        site.cut([0])
        time.sleep(CONTACT_SECONDS)
        thread, counts = in_background(site.play, 4.0)
        time.sleep(0.5)
        site.hosts.processes[1].kill()
        time.sleep(1.0)
        site.hosts.processes[2].kill()
        thread.join()
        print("statuses by host:", [dict(entry) for entry in counts[0]], flush=True)
        own = counts[0][0]
        assert sum(own.values()) - own[200] <= 10 + sum(own.values()) / 50, own
        site.assert_none_ran_twice()


# Guards against responses that are cut when a host that helps others stops as planned.
def test_a_helper_stops_as_planned():
    with Site() as site:
        for endpoint in site.models:
            endpoint.event_pause = 0.1
        site.cut([0])
        time.sleep(CONTACT_SECONDS)
        for stopped in (1, 2):
            thread, statuses = in_background(site.streams, 0, 2.0)
            time.sleep(0.7)
            site.hosts.processes[stopped].terminate()
            thread.join()
            print("statuses:", dict(statuses[0]), flush=True)
            assert set(statuses[0]) == {200}, statuses
            assert site.hosts.processes[stopped].wait(timeout=10) == 0


# Guards against endpoints that are given up since they were silent for a second.
def test_an_endpoint_is_silent_for_a_second():
    with Site() as site:
        for endpoint in site.models:
            endpoint.event_pause = 0.3
        thread, statuses = in_background(site.streams, 0, 0.3)
        time.sleep(0.5)
        site.cut(range(len(IPS)))
        time.sleep(1.1)
        site.cut([])
        thread.join()
        assert set(statuses[0]) == {200}, statuses
        runs = collections.Counter(name for endpoint in site.models for name, _ in endpoint.arrivals)
        assert max(runs.values()) == 1, runs.most_common(2)


# Guards against requests that fail since one of several endpoints was silent for a second.
def test_requests_go_on_while_one_endpoint_is_silent():
    with Site() as site:
        thread, counts = in_background(site.play, 2.5)
        time.sleep(0.5)
        site.cut(range(len(IPS)), [site.models[0], site.apps[0]])
        time.sleep(1.1)
        site.cut([])
        thread.join()
        print("statuses by host:", [dict(entry) for entry in counts[0]], flush=True)
        assert min(share(entry) for entry in counts[0]) >= 0.98, counts


if __name__ == "__main__":
    run_tests(globals())
