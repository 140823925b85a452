# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A process is killed while it has requests in a queue, and is started again during a burst. See claim.txt."""

import pathlib
import random
import sys
import threading
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from deployment import TROUBLE, Clients, Deployment, Record, Runner  # noqa: E402

BURSTS = 5
STEADY_PER_S = 52  # requests a second, half of them for each route
BURST_X = 2.3  # the largest of the site file
BURST_S = 9  # the longest of the site file
PAUSE_S = 6
VICTIM_SHARE = 0.4  # the platform's hash of the clients gives uneven shares
KILLS_S = tuple(2.5 + 0.65 * number for number in range(8))  # after the beginning of a burst
DOWN_S = 0.2
SERVICE_OF = {"/bulletin/": "modelo", "/status/": "avisos-app"}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {"name": "bulletin", "host": "site.example", "path_prefix": "/bulletin/", "type": "idempotent", "timeout_ms": 12000,
         "target_latency_ms": 2500, "priority": 2, "service": "modelo", "max_attempts": 2, "public": True},
        {"name": "status", "host": "site.example", "path_prefix": "/status/", "type": "non_idempotent", "timeout_ms": 1000,
         "target_latency_ms": 150, "priority": 2, "service": "avisos-app", "max_attempts": 1, "public": True},
    ],
    "services": [{"name": "modelo"}, {"name": "avisos-app"}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
    "tenants": [],
}


class Traffic(threading.Thread):
    """Clients that send at a given rate, by turns to both routes."""

    def __init__(self, clients, hosts, victim):
        super().__init__(daemon=True)
        self.clients, self.victim = clients, victim
        self.others = [host for host in hosts if host is not victim]
        self.per_s = STEADY_PER_S
        self.over = False
        self.luck = random.Random(73)

    def run(self):
        due = time.monotonic()
        number = 0
        while not self.over:
            due += 1 / self.per_s
            time.sleep(max(0.0, due - time.monotonic()))
            number += 1
            host = self.victim if self.luck.random() < VICTIM_SHARE else self.others[number % len(self.others)]
            if self.luck.random() < 0.5:
                self.clients.start(host, "/bulletin/x", "bulletin", 12000)
            else:
                self.clients.start(host, "/status/x", "status", 1000)


def kill_and_start(victim):
    victim.kill()
    time.sleep(DOWN_S)
    victim.start()


def main():
    record = Record(HERE / "record.txt")
    deployment = Deployment(record, ["edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6", "edge-7"])
    clients = Clients(record)
    runners = [Runner("modelo", "i-m1", 20, 1.0, record), Runner("modelo", "i-m2", 20, 1.0, record),
               Runner("avisos-app", "i-a1", 6, 0.15, record)]
    try:
        deployment.store.put("op", "config", CONFIGURATION)
        for runner in runners:
            deployment.store.put("servers", runner.name, runner.row())
        deployment.start()
        deployment.wait_ready()
        time.sleep(2)
        victim = deployment.hosts["edge-1"]
        traffic = Traffic(clients, deployment.hosts.values(), victim)
        traffic.start()
        for _ in range(BURSTS):
            time.sleep(PAUSE_S)
            record("burst     begins")
            began = time.monotonic()
            traffic.per_s = STEADY_PER_S * BURST_X
            for at in KILLS_S if TROUBLE else ():
                time.sleep(began + at - time.monotonic())
                kill_and_start(victim)
            time.sleep(began + BURST_S - time.monotonic())
            traffic.per_s = STEADY_PER_S
            record("burst     ends")
        traffic.over = True
        clients.join()
    finally:
        deployment.stop()
    return judge(record, clients, runners)


def judge(record, clients, runners):
    """ROUTE: a service runs a request that no configuration ever sent allows to go to it."""
    wrong = []
    for runner in runners:
        for name, path in runner.ran:
            if SERVICE_OF[path[:path.index("/", 1) + 1]] != runner.service:
                wrong.append((name, path, runner.service))
    foreign = [name for name, answer in clients.answers.items()
               if answer[0] == 200 and not answer[2].startswith(SERVICE_OF[clients.sent[name][:clients.sent[name].index("/", 1) + 1]].encode())]
    served = sum(1 for answer in clients.answers.values() if answer[0] == 200)
    record(f"result    {len(clients.answers)} requests, {served} served, {len(wrong)} run by a service that no route names, "
           f"{len(foreign)} answered by it")
    for entry in wrong:
        record(f"broken    ROUTE: {entry[0]} {entry[1]} was run by {entry[2]}")
    if served < 50:
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception:  # whatever keeps the case from running is no broken rule
        traceback.print_exc()
        code = 2
    sys.exit(code)
