# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""An endpoint that has just started, or says that it is cold, gets requests only at the rate that it accepts while cold."""

import copy
import threading
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store

COLD_PER_SECOND = 5
# What the platform allows in any second, from all hosts together.
MAX_IN_A_SECOND = 1.5 * COLD_PER_SECOND + 5
HEARTBEAT_S = 0.2


class Site:
    """Three hosts, and two endpoints of one pool that write heartbeats."""

    def __enter__(self):
        self.store = Store()
        self.endpoints = [Endpoint("i-1"), Endpoint("i-2")]
        self.cold_until = {endpoint.name: 0.0 for endpoint in self.endpoints}
        self.sequence = 0
        self.ended = threading.Event()
        configuration = copy.deepcopy(CONFIGURATION)
        configuration["services"][1].update({"cold_start_s": 3.0, "cold_per_s": COLD_PER_SECOND})
        self.hosts = Hosts(parse_options().bin, [self.store.address] * 3)
        self.store.put("op", "config", configuration)
        self.beat()
        threading.Thread(target=self.beat_until_ended, daemon=True).start()
        self.hosts.wait_ready()
        for index in range(3):
            wait_until(lambda index=index: self.send(index).status == 200, "the endpoints")
        return self

    def __exit__(self, *_):
        self.ended.set()
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def beat(self):
        self.sequence += 1
        for endpoint in self.endpoints:
            remaining = max(0.0, self.cold_until[endpoint.name] - time.monotonic())
            row = {**endpoint.row("app"), "slots": 64, "sequence": self.sequence, "cold_remaining_ms": int(remaining * 1000)}
            self.store.put("servers", endpoint.name, row)

    def beat_until_ended(self):
        while not self.ended.wait(HEARTBEAT_S):
            self.beat()

    def set_cold(self, endpoint, seconds):
        self.cold_until[endpoint.name] = time.monotonic() + seconds
        self.beat()

    def send(self, index):
        return self.hosts.send(index, "POST", "/once/x", f"cold-{time.monotonic_ns()}-{threading.get_ident()}")

    def send_for(self, seconds, threads=12, hosts=3):
        """Sends requests from several threads to the first hosts and returns the responses."""
        responses = []
        end = time.monotonic() + seconds

        def send_until_end(number):
            while time.monotonic() < end:
                responses.append(self.send(number % hosts))
                time.sleep(0.02)

        senders = [threading.Thread(target=send_until_end, args=(number,)) for number in range(threads)]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        return responses


def most_in_a_second(endpoint, begin, end):
    """Returns the largest number of requests that reached the endpoint within one second of the given time."""
    times = [at for _, at in endpoint.arrivals if begin <= at <= end]
    return max((sum(1 for other in times if at <= other < at + 1) for at in times), default=0)


# Guards against a cold endpoint that is taken for the emptiest one.
def test_cold_endpoint_gets_its_rate_and_the_warm_one_the_rest():
    with Site() as site:
        cold, warm = site.endpoints
        site.set_cold(cold, 4)
        time.sleep(0.5)  # until all hosts know
        begin = time.monotonic()
        statuses = [response.status for response in site.send_for(3)]
        assert most_in_a_second(cold, begin, begin + 3) <= MAX_IN_A_SECOND, most_in_a_second(cold, begin, begin + 3)
        assert most_in_a_second(cold, begin, begin + 3) >= 1
        assert most_in_a_second(warm, begin, begin + 3) > 2 * MAX_IN_A_SECOND
        assert statuses.count(200) * 100 >= len(statuses) * 99, statuses
        time.sleep(1)
        begin = time.monotonic()
        site.send_for(2)
        assert most_in_a_second(cold, begin, begin + 2) > 2 * MAX_IN_A_SECOND, "the endpoint is not cold any more"


# Guards against requests that wait for endpoints that cannot take them, and against a lost dispatcher that lets them through.
def test_pool_that_is_cold_as_a_whole_refuses_early_also_when_hosts_are_lost():
    with Site() as site:
        for endpoint in site.endpoints:
            site.set_cold(endpoint, 6)
        time.sleep(0.5)
        begin = time.monotonic()
        threading.Timer(1.5, site.hosts.processes[2].kill).start()
        responses = site.send_for(4, threads=8, hosts=2)
        for endpoint in site.endpoints:
            assert most_in_a_second(endpoint, begin, begin + 4) <= MAX_IN_A_SECOND, most_in_a_second(endpoint, begin, begin + 4)
        assert {response.status for response in responses} <= {200, 503}
        assert all("retry-after" in response.headers for response in responses if response.status == 503)


if __name__ == "__main__":
    run_tests(globals())
