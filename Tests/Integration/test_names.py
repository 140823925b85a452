# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Things whose names have the same 32 bits of a hash come, stay and go; real hosts keep them apart.

The pairs were found by search; the hash is XXH64 of `endpoint/NAME`, `pool/SERVICE` and `class/ROUTE/SERVICE`.
"""

import copy
import socket
import threading
import time

from fleet import parse_options, run_tests
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store

HOSTS = 3
ENDPOINTS = ("i-0a0ed", "i-0d67c")
SERVICES = ("app-0aa09", "app-15516")
ROUTES = ("route-018e2", "route-15edc")  # of the service `status-service`
ROUNDS = 40


def route(name, service, kind="non_idempotent", attempts=1):
    return {"name": name, "host": "site.example", "path_prefix": f"/{name}/", "type": kind, "timeout_ms": 2000,
            "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": attempts, "public": False}


def configuration(version, routes, services):
    return {**copy.deepcopy(CONFIGURATION), "version": version, "routes": routes, "services": [{"name": name} for name in services]}


class Site:
    def __init__(self, config, endpoints):
        """`endpoints`: (endpoint, service) of each that is there from the start."""
        self.store = Store()
        self.store.put("op", "config", config)
        for endpoint, service in endpoints:
            self.add(endpoint, service)
        self.hosts = Hosts(parse_options().bin, [self.store.address] * HOSTS)
        self.sent = 0

    def __enter__(self):
        self.hosts.wait_ready()
        time.sleep(2)  # until all hosts know each other
        return self

    def __exit__(self, *_):
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def add(self, endpoint, service):
        self.store.put("servers", endpoint.name, endpoint.row(service))

    def remove(self, endpoint):
        self.store.remove("servers", endpoint.name)

    def send_rounds(self, paths, rounds=ROUNDS):
        """Returns the statuses of `rounds` requests to each of the paths, each through the next host."""
        statuses = {path: [] for path in paths}
        for _ in range(rounds):
            for path in paths:
                self.sent += 1
                answer = self.hosts.send(self.sent % HOSTS, "POST", path, f"r{self.sent}")
                statuses[path].append(answer.status)
        return statuses

    def collisions(self):
        """The names that collided, as each host logged them."""
        return [[entry["names"] for entry in self.hosts.log(index) if entry["event"] == "names-collide"] for index in range(HOSTS)]


def paths_run(endpoint):
    return {path for _, path, _, _ in endpoint.runs}


def assert_served(statuses):
    print(statuses, flush=True)
    assert all(status == 200 for answers in statuses.values() for status in answers), statuses


# Guards against requests of one service that run at another's endpoint, because the names of two endpoints have the same hash.
def test_endpoints_of_two_services_whose_names_collide():
    own, other, added = Endpoint(ENDPOINTS[0]), Endpoint("i-other"), Endpoint(ENDPOINTS[1])
    config = configuration(1, [route("status", "status-service"), route("photo", "photo-service")], ["status-service", "photo-service"])
    with Site(config, [(own, "status-service"), (other, "photo-service")]) as site:
        assert_served(site.send_rounds(["/status/x", "/photo/x"]))
        site.add(added, "photo-service")
        time.sleep(2)  # until the change is in force
        assert_served(site.send_rounds(["/status/x", "/photo/x"]))
        assert added.runs, "the added endpoint got nothing"
        site.remove(added)
        time.sleep(2)
        assert_served(site.send_rounds(["/status/x", "/photo/x"]))
        assert paths_run(own) == {"/status/x"}, paths_run(own)
        assert paths_run(other) | paths_run(added) == {"/photo/x"}, (paths_run(other), paths_run(added))
        assert site.collisions() == [[[f"endpoint/{name}" for name in ENDPOINTS]]] * HOSTS, site.collisions()


# Guards against requests that run at the wrong service while an endpoint whose name collides with another's comes and goes.
def test_requests_run_at_their_own_service_while_names_come_and_go():
    own, other, added = Endpoint(ENDPOINTS[0]), Endpoint("i-other"), Endpoint(ENDPOINTS[1])
    config = configuration(1, [route("status", "status-service"), route("photo", "photo-service")], ["status-service", "photo-service"])
    with Site(config, [(own, "status-service"), (other, "photo-service")]) as site:
        done = threading.Event()

        def come_and_go():
            while not done.is_set():
                site.add(added, "photo-service")
                done.wait(0.7)
                site.remove(added)
                done.wait(0.7)

        changes = threading.Thread(target=come_and_go, daemon=True)
        changes.start()
        statuses = site.send_rounds(["/status/x", "/photo/x"], 600)
        done.set()
        changes.join()
        assert paths_run(own) == {"/status/x"}, paths_run(own)
        assert paths_run(other) | paths_run(added) == {"/photo/x"}, (paths_run(other), paths_run(added))
        assert_served(statuses)


# Guards against requests of one service that run at another, because the names of the services have the same hash.
def test_services_whose_names_collide():
    endpoints = [Endpoint("i-1"), Endpoint("i-2")]
    first, second = SERVICES
    config = configuration(1, [route("first", first)], [first])
    with Site(config, list(zip(endpoints, SERVICES))) as site:
        # The endpoint of the second service is there before its service is.
        assert_served(site.send_rounds(["/first/x"]))
        site.store.put("op", "config", configuration(2, [route("first", first), route("second", second)], list(SERVICES)))
        time.sleep(2)  # until the change is in force
        assert_served(site.send_rounds(["/first/x", "/second/x"]))
        site.store.put("op", "config", configuration(3, [route("second", second)], [second]))
        time.sleep(2)
        assert_served(site.send_rounds(["/second/x"]))
        assert [paths_run(endpoint) for endpoint in endpoints] == [{"/first/x"}, {"/second/x"}], [paths_run(entry) for entry in endpoints]
        assert site.collisions() == [[[f"pool/{name}" for name in SERVICES]]] * HOSTS, site.collisions()


class ClosingEndpoint(Endpoint):
    """Runs each request and closes the connection without an answer."""

    def respond(self, handler):
        self.runs.append((handler.command, handler.path, dict(handler.headers), handler.body))
        handler.close_connection = True
        handler.connection.shutdown(socket.SHUT_RDWR)


# Guards against requests that may not be repeated and run again, because their route has the hash of one whose requests may.
def test_routes_of_one_service_whose_names_collide():
    endpoints = [ClosingEndpoint("i-1"), ClosingEndpoint("i-2")]
    for kinds in (("idempotent", "non_idempotent"), ("non_idempotent", "idempotent")):
        routes = [route(name, "status-service", kind, attempts=3) for name, kind in zip(ROUTES, kinds)]
        once = ROUTES[kinds.index("non_idempotent")]
        with Site(configuration(1, routes, ["status-service"]), [(endpoint, "status-service") for endpoint in endpoints]) as site:
            site.send_rounds([f"/{name}/x" for name in ROUTES], 8)
            collisions = site.collisions()
        runs = {}
        for endpoint in endpoints:
            for _, path, headers, _ in endpoint.runs:
                names = {key.lower(): value for key, value in headers.items()}
                runs.setdefault(path, []).append(names["x-request-id"])
            endpoint.runs.clear()
        names = runs[f"/{once}/x"]
        print(f"{kinds}: {len(names)} runs of {len(set(names))} requests that may not be repeated", flush=True)
        assert len(names) == len(set(names)), names
        assert collisions == [[[f"class/{name}/status-service" for name in ROUTES]]] * HOSTS, collisions


if __name__ == "__main__":
    run_tests(globals())
