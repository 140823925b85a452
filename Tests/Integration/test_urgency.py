# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Requests of classes and organisations with priorities, on real hosts before engines that cannot serve all of them at once.

`priority` is the platform's word for both; 0 is the most urgent.
"""

import collections
import itertools
import signal
import threading
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import Endpoint, Hosts, Store
from streamcaller import StreamCaller

HOSTS = 4
ENGINES = 4
EVENT_SECONDS = 0.16
PAUSE_SECONDS = 0.05  # between two requests of a caller
# Of ten or more requests of a class in five seconds, the platform allows so many to get nothing while less urgent ones begin.
UNSERVED_SHARE = 1 / 12
MIN_REQUESTS = 10
WINDOW_SECONDS = 5.0
WINDOWS = 2
# After this time the requests of the last window have ended as well.
LONGEST_SECONDS = 4.5


# As long as the platform allows until all hosts act on the end of one of them.
CONTACT_SECONDS = 4.0


def route(name, priority, target_ms, timeout_ms):
    return {"name": name, "host": "site.example", "path_prefix": f"/stream/{name}/", "type": "streaming", "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": priority, "service": "model", "max_attempts": 2, "public": False,
            "stream_resume": True, "target_gap_ms": 1500}


ROUTES = [route("urgent", 0, 250, 4000), route("middle", 1, 1500, 8000), route("bulk", 2, 8000, 12000)]


def organisation(name, **more):
    return {"name": name, "api_keys": ["key-of-" + name], **more}


class OneByOneEngine(Endpoint):
    """An engine with one slot. `begun` tells the path and the priority header of each request, in the order in which they began."""

    def __init__(self, name, begun):
        self.begun = begun
        super().__init__(name)
        self.event_pause = EVENT_SECONDS

    def row(self, service, state="ready"):
        return {**super().row(service, state), "slots": 1}

    def stream(self, handler, head):
        self.begun.append((time.monotonic(), handler.path, int(handler.headers["X-Request-Priority"])))
        super().stream(handler, head)


class Site:
    def __init__(self, organisations):
        self.organisations = organisations

    def __enter__(self):
        self.begun = []
        self.ended = collections.defaultdict(list)
        self.stopping = threading.Event()
        self.names = itertools.count()
        self.threads = []
        self.live = list(range(HOSTS))
        self.store = Store()
        self.hosts = Hosts(parse_options().bin, [self.store.address] * HOSTS)
        self.store.put("op", "config", {"version": 1, "routes": ROUTES, "services": [{"name": "model", "engine": {"slots": 1, "kv_capacity": 100000}}],
                                        "limits": {}, "tenants": self.organisations})
        for number in range(ENGINES):
            engine = OneByOneEngine(f"i-engine-{number}", self.begun)
            self.store.put("servers", engine.name, engine.row("model"))
        self.hosts.wait_ready()
        for index in range(HOSTS):
            wait_until(lambda index=index: self.call("urgent", self.organisations[0]["name"], index).whole, f"host {index} to serve")
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.store.closing.set()
        for thread in self.threads:
            thread.join()
        for process in self.hosts.processes:
            process.kill()

    def call(self, route_name, organisation_name, host, deadline_ms=12000):
        name = f"{route_name}-{organisation_name}-{next(self.names)}"
        caller = StreamCaller(self.hosts.callers, f"key-of-{organisation_name}", f"/stream/{route_name}/{name}")
        return caller.begin(host, name, deadline_ms)

    def keep_calling(self, count, route_name, organisation_name):
        """Starts callers that send one request after the other."""
        def loop(number):
            while not self.stopping.is_set():
                stream = self.call(route_name, organisation_name, self.live[number % len(self.live)])
                self.ended[(organisation_name, route_name)].append(stream)
                time.sleep(PAUSE_SECONDS)

        for number in range(count):
            self.threads.append(threading.Thread(target=loop, args=(number,), daemon=True))
            self.threads[-1].start()

    def keep_bulk_waiting(self):
        """Starts callers of the least urgent class, of two organisations, so many that their requests wait for several seconds."""
        self.keep_calling(8, "bulk", "city")
        self.keep_calling(8, "bulk", "county")
        time.sleep(3)

    def play_windows(self):
        """Plays until the requests of the windows that begin now have ended, and returns when they began."""
        begin = time.monotonic()
        time.sleep(WINDOWS * WINDOW_SECONDS + LONGEST_SECONDS)
        return begin

    def dispatcher(self):
        """The host that dispatches to the engines, as its state dump says."""
        for index in self.live:
            self.hosts.processes[index].send_signal(signal.SIGUSR1)

        def find():
            dumps = {index: entry for index in self.live for entry in self.hosts.log(index) if entry["event"] == "dump"}
            return [index for index, dump in dumps.items() if dump["shards"]]

        wait_until(find, "a host to name its shard")
        return find()[0]

    def kill(self, index):
        self.live.remove(index)
        self.hosts.processes[index].kill()

    def assert_served(self, organisation_name, route_name, begin, less_urgent):
        """Asserts the platform's rule on requests that get nothing while less urgent ones begin, from the time `begin` on."""
        streams = self.ended[(organisation_name, route_name)]
        for _ in range(WINDOWS):
            window = [stream for stream in streams if begin <= stream.tries[0].sent < begin + WINDOW_SECONDS]
            nothing = [stream for stream in window if not stream.whole]
            lower = sum(1 for at, path, _ in self.begun if begin <= at < begin + WINDOW_SECONDS and path.split("/")[2] in less_urgent)
            print(f"{organisation_name} {route_name}: {len(nothing)} of {len(window)} got nothing; {lower} less urgent began", flush=True)
            assert len(window) >= MIN_REQUESTS and len(nothing) <= UNSERVED_SHARE * len(window), [stream.tries for stream in nothing[:3]]
            begin += WINDOW_SECONDS


# Guards against an order of classes that is lost where the organisations have priorities and these are equal.
def test_urgent_requests_of_equal_organisations_go_first():
    with Site([organisation("city", priority=1), organisation("county", priority=1)]) as site:
        site.keep_bulk_waiting()
        site.keep_calling(6, "urgent", "city")
        site.assert_served("city", "urgent", site.play_windows(), {"bulk"})


# Guards against a dispatcher that takes over and knows no order of the asks that it is sent anew.
def test_urgent_requests_go_first_when_a_dispatcher_has_taken_over():
    with Site([organisation("city", priority=1), organisation("county", priority=1)]) as site:
        site.keep_bulk_waiting()
        site.keep_calling(6, "urgent", "county")
        time.sleep(2)
        site.kill(site.dispatcher())
        time.sleep(CONTACT_SECONDS)
        site.assert_served("county", "urgent", site.play_windows(), {"bulk"})


# Guards against a class that goes before an organisation of higher priority.
def test_an_organisation_of_higher_priority_goes_before_classes():
    with Site([organisation("city", priority=1), organisation("fire", priority=0)]) as site:
        site.keep_calling(6, "bulk", "city")
        site.keep_calling(6, "urgent", "city")
        time.sleep(3)
        site.keep_calling(5, "bulk", "fire")
        site.assert_served("fire", "bulk", site.play_windows(), {"urgent", "bulk"})


# Guards against engines whose own order differs from that of the hosts.
def test_engines_are_told_the_order_of_the_hosts():
    organisations = [organisation("fire", priority=0), organisation("city", priority=1), organisation("club", priority=5)]
    with Site(organisations) as site:
        order = []
        for name, route_name in itertools.product(("fire", "city", "club"), ("urgent", "middle", "bulk")):
            assert site.call(route_name, name, 0).whole
            order.append(site.begun[-1][2])
        assert order == sorted(set(order)) and 0 <= order[0] and order[-1] <= 9, order


if __name__ == "__main__":
    run_tests(globals())
