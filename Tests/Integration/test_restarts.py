# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A host is killed while its requests wait in the queue of a dispatcher, and its next process takes requests at once."""

import collections
import itertools
import signal
import threading
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import Endpoint, Hosts, Store

HOSTS = 7
SEEDS = [0, 2, 3]  # a dispatcher that is no seed learns of a new process by gossip, after its first requests
KILLS = 14
REQUESTS_PER_LIFE = 40
SERVICE_OF = {"model": "model-service", "status": "status-service"}
WORK_SECONDS = {"model-service": 0.5, "status-service": 0.3}


def route(name, kind, timeout_ms):
    return {"name": name, "host": "site.example", "path_prefix": f"/{name}/", "type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": timeout_ms, "priority": 1, "service": SERVICE_OF[name], "max_attempts": 2, "public": True}


CONFIGURATION = {"version": 1, "routes": [route("model", "idempotent", 9000), route("status", "non_idempotent", 3000)],
                 "services": [{"name": name} for name in WORK_SECONDS], "limits": {}, "tenants": []}


class SlowEndpoint(Endpoint):
    def __init__(self, name, service, slots):
        self.service = service
        self.slots = slots
        super().__init__(name)

    def row(self, service, state="ready"):
        return {**super().row(service, state), "slots": self.slots}

    def respond(self, handler):
        time.sleep(WORK_SECONDS[self.service])
        super().respond(handler)


class Callers:
    """Sends requests from threads of their own and collects the answers, by the name of the request."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.answers = {}
        self.numbers = itertools.count()
        self.threads = []

    def start(self, host, route_name):
        name = f"{route_name}-{next(self.numbers)}"
        self.threads.append(threading.Thread(target=self.call, args=(host, route_name, name), daemon=True))
        self.threads[-1].start()

    def call(self, host, route_name, name):
        try:
            self.answers[name] = self.hosts.send(host, "POST", f"/{route_name}/x", name)
        except OSError:  # the host was killed
            self.answers[name] = None

    def join(self):
        for thread in self.threads:
            thread.join()


def dispatchers(hosts):
    """The indices of the hosts that dispatch, as their state dumps say."""
    for process in hosts.processes:
        process.send_signal(signal.SIGUSR1)

    def dumps():
        return {index: entry for index in range(HOSTS) for entry in hosts.log(index) if entry["event"] == "dump"}

    wait_until(lambda: len(dumps()) == HOSTS, "all hosts to dump their state")
    return [index for index, dump in dumps().items() if dump["shards"]]


# Guards against a grant for a request of a process that was killed, which starts a request of the next process at another service.
def test_requests_of_a_new_process_run_at_their_own_service():
    store = Store()
    endpoints = [SlowEndpoint("i-m1", "model-service", 8), SlowEndpoint("i-m2", "model-service", 8),
                 SlowEndpoint("i-s1", "status-service", 6)]
    store.put("op", "config", CONFIGURATION)
    for endpoint in endpoints:
        store.put("servers", endpoint.name, endpoint.row(endpoint.service))
    hosts = Hosts(parse_options().bin, [store.address] * HOSTS, seeds=SEEDS)
    callers = Callers(hosts)
    try:
        hosts.wait_ready()
        time.sleep(2)  # until all hosts know each other
        dispatching = dispatchers(hosts)
        assert not set(SEEDS) & set(dispatching), dispatching
        victim = next(index for index in range(HOSTS) if index not in dispatching)
        other = next(index for index in range(HOSTS) if index not in [*dispatching, victim])
        for _ in range(KILLS):
            begin_life(hosts, callers, victim, other)
            hosts.processes[victim].kill()
            hosts.processes[victim].wait()
            hosts.start(victim)
            wait_until(lambda: hosts.ready(victim), "the new process to be ready")
        begin_life(hosts, callers, victim, other)
        callers.join()
        judge(hosts, endpoints, callers)
    finally:
        store.closing.set()
        for process in hosts.processes:
            process.kill()


def begin_life(hosts, callers, victim, other):
    """Fills the queues with requests of two hosts, so that those of the victim wait when it is killed."""
    for _ in range(REQUESTS_PER_LIFE):
        callers.start(victim, "status")
        callers.start(victim, "model")
    for _ in range(REQUESTS_PER_LIFE // 4):
        callers.start(other, "status")
        callers.start(other, "model")
    time.sleep(0.4)


def judge(hosts, endpoints, callers):
    foreign = collections.Counter()
    for endpoint in endpoints:
        for _, path, _, _ in endpoint.runs:
            if SERVICE_OF[path.split("/")[1]] != endpoint.service:
                foreign[endpoint.service] += 1
    served = sum(1 for answer in callers.answers.values() if answer is not None and answer.status == 200)
    dropped = sum(entry["messages"] for index in range(HOSTS) for entry in hosts.log(index) if entry["event"] == "peer-messages-dropped")
    print(f"{len(callers.answers)} requests, {served} served, {dropped} messages of or for processes that had ended; "
          f"run by the other service: {dict(foreign)}", flush=True)
    assert not foreign, foreign
    assert served >= KILLS, served


if __name__ == "__main__":
    run_tests(globals())
