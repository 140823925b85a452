# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A seeded soak: real hosts on stand-ins of the platform, faults in series and overlapping, callers that keep their connections
until the process behind them is gone. Afterwards soakchecks.py judges what callers were told and what endpoints ran.

--seed N sets the seed, --seconds S runs by time in place of the fixed number of steps, --bound S sets the time within which a
change must be known (wide by default, for machines that are busy with other things).
"""

import copy
import http.client
import json
import random
import shutil
import signal
import threading
import time

from fleet import parse_bin, request, run_tests, wait_until
from recordsplatform import CONFIGURATION, Door, Hosts, Runner, Store
from soakchecks import Accepted, Record, Run, Trouble, Try, broken

HOSTS = 4
CALLERS = 8
STEPS = 10
LATE_WAKE = 0.4  # seconds; a sleep that takes so much longer shows that this machine is too busy to judge times
EVENTS = 5  # of a stream of the stand-in


class Caller(threading.Thread):
    """Sends one request after the other over a connection that it keeps while it lasts."""

    def __init__(self, soak, number):
        super().__init__()
        self.soak, self.number = soak, number
        self.random = random.Random(soak.seed * 1000 + number)
        self.tries = []
        self.connection, self.host, self.life = None, 0, 0

    def run(self):
        while not self.soak.over.is_set():
            self.try_once()
            time.sleep(self.random.random() * 0.05)

    def connect(self):
        ready = [index for index in range(HOSTS) if self.soak.ready[index]] or list(range(HOSTS))
        self.host = self.random.choice(ready)
        self.life = self.soak.lives[self.host]
        self.connection = http.client.HTTPConnection(self.soak.hosts.callers[self.host], timeout=8)

    def try_once(self):
        if self.connection is None:
            self.connect()
        path = self.random.choice(["/once/x", "/once/x", "/stream/x", "/extra/x"])
        key = self.random.choice(["good-key", "good-key", "other-key"])
        entry = Try(f"c{self.number}-{len(self.tries)}", path, key, self.host, self.life, time.monotonic(), 0.0, 0)
        self.tries.append(entry)
        try:
            self.connection.request("POST", path, "payload", {"Host": "site.example", "X-Request-Id": entry.name,
                                                              "X-Deadline-Ms": "5000", "X-Credential": key})
            answer = self.connection.getresponse()
            entry.body = answer.read()
            entry.answered_name = answer.headers.get("X-Request-Id", "")
            entry.signature = answer.headers.get("X-Response-Signature", "")
            entry.status = answer.status
            entry.whole = not path.startswith("/stream/") or entry.status != 200 or whole_stream(entry.body)
            if answer.headers.get("Connection", "").lower() == "close":
                self.leave()
        except (OSError, http.client.HTTPException):
            entry.status = 0
            self.leave()
        entry.ended = time.monotonic()

    def leave(self):
        self.connection.close()
        self.connection = None


def whole_stream(body):
    ids = [int(line[3:]) for line in body.decode().splitlines() if line.startswith("id:")]
    return ids == list(range(1, EVENTS + 1))


class Soak:
    def __init__(self, binaries, seed):
        self.seed = seed
        self.chooser = random.Random(seed)
        self.store = Store()
        self.doors = [Door(self.store) for _ in range(HOSTS)]
        self.hosts = Hosts(binaries, [door.address for door in self.doors])
        self.lives = [0] * HOSTS
        self.ready = [False] * HOSTS
        self.busy = set()  # hosts that a fault has hold of
        self.lock = threading.Lock()
        self.over = threading.Event()
        self.runners, self.gone = [], []
        self.started = 0
        self.keys, self.paths = {"good-key"}, {"/once/", "/stream/"}
        self.configurations, self.leaving, self.troubles, self.stops = [], {}, [], []
        self.injected = []
        self.exits = []

    # --- what the platform holds

    def add_runner(self, service):
        self.started += 1
        runner = Runner(f"i-{service}{self.started}")
        self.runners.append((service, runner))
        self.store.put("servers", runner.name, runner.row(service))

    def configure(self):
        whole = copy.deepcopy(CONFIGURATION)
        whole["version"] = len(self.configurations) + 1
        whole["tenants"][0]["api_keys"] = sorted(self.keys)
        if "/extra/" in self.paths:
            whole["routes"].append({**whole["routes"][1], "name": "extra", "path_prefix": "/extra/"})
        before = time.monotonic()
        self.store.put("op", "config", whole)
        self.configurations.append(Accepted(before, frozenset(self.keys), frozenset(self.paths)))

    # --- faults; each returns what undoes it

    def trouble(self, host=None):
        entry = Trouble(time.monotonic(), float("inf"), host)
        self.troubles.append(entry)
        return entry

    def store_fault(self, field, value, normal):
        entry = self.trouble()
        setattr(self.store, field, value)

        def undo():
            setattr(self.store, field, normal)
            entry.end = time.monotonic()

        return undo

    def turned_away(self, host):
        entry = self.trouble()
        self.doors[host].closed = True

        def undo():
            self.doors[host].closed = False
            entry.end = time.monotonic()

        return undo

    def paused(self, host):
        entry = self.trouble(host)
        self.hosts.processes[host].send_signal(signal.SIGSTOP)

        def undo():
            self.hosts.processes[host].send_signal(signal.SIGCONT)
            entry.end = time.monotonic()

        return undo

    def restart(self, host, entry):
        self.lives[host] += 1
        self.hosts.start(host)
        wait_until(lambda: self.hosts.ready(host), f"host {host} to be ready again", 60)
        entry.end = time.monotonic()

    def killed(self, host):
        entry = self.trouble(host)
        self.hosts.processes[host].kill()
        self.hosts.processes[host].wait()
        return lambda: self.restart(host, entry)

    def stopped(self, host):
        life, begin = self.lives[host], time.monotonic()
        self.hosts.processes[host].terminate()

        def undo():
            self.exits.append(self.hosts.processes[host].wait(timeout=30))
            self.stops.append((host, life, begin, time.monotonic()))
            self.restart(host, self.trouble(host))

        return undo

    def told_to_reload(self, host):
        self.hosts.processes[host].send_signal(signal.SIGHUP)
        return lambda: None

    def forgets_history(self):
        self.store.forget_history()
        return lambda: None

    def changes_configuration(self):
        for _ in range(self.chooser.choice([1, 1, 4])):
            self.keys ^= {"other-key"}
            if self.chooser.random() < 0.5:
                self.paths ^= {"/extra/"}
            self.configure()
        return lambda: None

    def runner_fault(self, field, value, normal):
        _, runner = self.chooser.choice(self.runners)
        setattr(runner, field, value)
        return lambda: setattr(runner, field, normal)

    def replaces_runner(self):
        service, runner = self.chooser.choice(self.runners)
        self.add_runner(service)
        self.runners.remove((service, runner))
        self.gone.append((service, runner))
        self.store.put("servers", runner.name, runner.row(service, "draining"))
        self.leaving[runner.name] = time.monotonic()
        return lambda: None

    def inject(self):
        """One fault, and how to undo it."""
        free = [host for host in range(HOSTS) if host not in self.busy]
        store_faults = {"down": lambda: self.store_fault("down", True, False), "swallow": lambda: self.store_fault("swallow", True, False),
                        "slow": lambda: self.store_fault("slow", 0.3, 0.0), "history": self.forgets_history}
        runner_faults = {"refuse": lambda: self.runner_fault("refuse", True, False),
                         "unsigned": lambda: self.runner_fault("unsigned", True, False),
                         "cut": lambda: self.runner_fault("cut_after", 2, None)}
        host_faults = {"pause": self.paused, "kill": self.killed, "stop": self.stopped, "hup": self.told_to_reload, "away": self.turned_away}
        kinds = [*store_faults, *runner_faults, "configuration", "configuration", "replace"]
        # At least two hosts serve.
        kinds += [*host_faults] * 2 if len(free) > 2 else []
        kind = self.chooser.choice(kinds)
        self.injected.append(kind)
        if kind in store_faults:
            return store_faults[kind]()
        if kind in runner_faults:
            return runner_faults[kind]()
        if kind == "configuration":
            return self.changes_configuration()
        if kind == "replace":
            return self.replaces_runner()
        host = self.chooser.choice(free)
        self.busy.add(host)
        undo = host_faults[kind](host)

        def undo_and_free():
            undo()
            self.busy.discard(host)

        return undo_and_free

    # --- the run

    def watch(self):
        """Asks for readiness as a balancer does, and notes when this machine is too busy to judge times."""
        while not self.over.is_set():
            for index in range(HOSTS):
                self.ready[index] = self.hosts.ready(index)
            begin = time.monotonic()
            time.sleep(0.1)
            if time.monotonic() - begin > 0.1 + LATE_WAKE:
                self.troubles.append(Trouble(begin, time.monotonic()))

    def run(self, seconds):
        for service in ["model", "model", "app", "app", "app"]:
            self.add_runner(service)
        self.configure()
        self.hosts.wait_ready()
        watcher = threading.Thread(target=self.watch)
        watcher.start()
        callers = [Caller(self, number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        undos, step, end = [], 0, time.monotonic() + seconds
        try:
            while step < STEPS or (seconds and time.monotonic() < end):
                step += 1
                undos.append(self.inject())
                time.sleep(self.chooser.random() * 1.5)
                # Up to three faults at once.
                while undos and (len(undos) > 2 or self.chooser.random() < 0.5):
                    undos.pop(self.chooser.randrange(len(undos)))()
                time.sleep(self.chooser.random())
            for undo in undos:
                undo()
            time.sleep(1)
        finally:
            self.over.set()
            for caller in callers:
                caller.join()
            watcher.join()
        return callers

    def record(self, callers, bound):
        runs = [Run(name, runner.name, at) for _, runner in self.runners + self.gone for name, at in runner.arrivals]
        tries = [entry for caller in callers for entry in caller.tries]
        return Record(tries, runs, self.configurations, self.leaving, self.troubles, self.stops, bound)

    def end(self):
        self.store.ended.set()
        for process in self.hosts.processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


def test_soak():
    options = parse_bin()
    soak = Soak(options.bin, options.seed)
    try:
        callers = soak.run(options.seconds)
        record = soak.record(callers, options.bound)
        served = sum(entry.status == 200 for entry in record.tries)
        found = broken(record)
        print(f"seed {options.seed}: {len(record.tries)} requests, {served} served, {len(record.runs)} runs, faults {soak.injected}")
        if found:
            print(json.dumps({name: entries[:10] for name, entries in found.items()}, indent=1))
            print(f"logs of the hosts: {soak.hosts.directory}")
        assert not found, {name: len(entries) for name, entries in found.items()}
        assert served > 100, served
        # A planned stop that cut off what waited for the store says so by its code.
        assert all(code in (0, 3) for code in soak.exits), soak.exits
    finally:
        soak.end()
    shutil.rmtree(soak.hosts.directory, ignore_errors=True)


if __name__ == "__main__":
    run_tests(globals())
