# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Random faults in a fleet of real processes, with a seed. Callers send operations and retry them while hosts are killed and paused,
the store is down or loses responses, services break off responses, and links break. Afterwards the outcomes that callers received
are compared with the run logs of the services.

--seed N sets the seed, --seconds S sets a minimum duration besides the minimum number of steps.
"""

import collections
import random
import signal
import threading
import time

from fleet import Fleet, localfleet, parse_options, run_tests, wait_until

STEPS = 14
CALLERS = 6


class Caller(threading.Thread):
    """Sends one operation after another, each until it is completed or has been sent four times."""

    def __init__(self, fleet, number, seed, stop):
        super().__init__()
        self.fleet, self.number, self.stop = fleet, number, stop
        self.random = random.Random(seed * 100 + number)
        self.records = []  # (idempotency key, outcomes in order)

    def run(self):
        count = 0
        while not self.stop.is_set():
            count += 1
            if self.random.random() < 0.3:
                self.chat(count)
                continue
            key = self.make_key(count)
            if key is None:
                continue
            outcomes = []
            for _ in range(4):
                response = self.fleet.operation(self.random.choice(self.fleet.hosts), key, f"{self.number}/{count}", timeout=8, Prefer="wait")
                outcomes.append(response.outcome or "none")
                if response.status == 200:
                    assert response.json()["echo"] == f"{self.number}/{count}", response.body
                if response.outcome in ("completed",):
                    break
                time.sleep(self.random.random() * 0.3)
            self.records.append((key, outcomes))

    def make_key(self, count):
        if self.random.random() < 0.4:
            return f"own-{self.number}-{count}"
        try:
            return self.fleet.ticket(self.random.choice(self.fleet.hosts))
        except (ValueError, KeyError):
            return None

    def chat(self, count):
        """Sends a repeatable request; a successful response must be complete and belong to the request."""
        text = f"caller {self.number} request {count}"
        response = self.fleet.chat(self.random.choice(self.fleet.hosts), text, "draft", tokens=4, timeout=10)
        if response.status == 200:
            content = response.json()["choices"][0]["message"]["content"]
            marks = {part.split(":")[0] for part in content.split()}
            assert len(marks) == 1 and len(content.split()) == 4, content


def inject_fault(fleet, chooser):
    """Injects a random fault; returns its name and a function that ends it."""
    host = chooser.choice(fleet.hosts)
    service = chooser.choice(fleet.endpoints("service"))
    platform = fleet.data["platform"]["address"]
    kind = chooser.choice(["kill", "pause", "store-down", "store-lossy", "cut-answers", "slow", "cut-link", "deaf"])
    if kind == "kill":
        fleet.kill(host)
        return kind, lambda: fleet.restart(host)
    if kind == "pause":
        fleet.signal(host, signal.SIGSTOP)
        return kind, lambda: fleet.signal(host, signal.SIGCONT)
    if kind == "store-down":
        fleet.set_faults(platform, down=True)
        return kind, lambda: fleet.set_faults(platform, down=False)
    if kind == "store-lossy":
        fleet.set_faults(platform, lose_percent=50)
        return kind, lambda: fleet.set_faults(platform, lose_percent=0)
    if kind == "cut-answers":
        fleet.set_faults(service["address"], cut_percent=30)
        return kind, lambda: fleet.set_faults(service["address"], cut_percent=0)
    if kind == "slow":
        fleet.set_faults(service["address"], slow=30)
        return kind, lambda: fleet.set_faults(service["address"], slow=1)
    if kind == "cut-link":
        fleet.set_route_faults(service["name"], cut_after_forward=chooser.randrange(400))
        return kind, lambda: fleet.set_route_faults(service["name"])
    fleet.set_route_faults(f"peer-{host['name']}", blackhole_forward=True)
    return kind, lambda: fleet.set_route_faults(f"peer-{host['name']}", cut=True)


def test_random():
    options = parse_options()
    chooser = random.Random(options.seed)
    injected = collections.Counter()
    with Fleet("--hosts", 4, "--engines", 2, "--services", 2, "--proxy") as fleet:
        stop = threading.Event()
        callers = [Caller(fleet, number, options.seed, stop) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + options.seconds
        step = 0
        while step < STEPS or (options.seconds and time.monotonic() < end):
            step += 1
            kind, undo = inject_fault(fleet, chooser)
            injected[kind] += 1
            time.sleep(chooser.random() * 1.5)
            undo()
            time.sleep(chooser.random() * 0.3)
        stop.set()
        for caller in callers:
            caller.join()
        runs = fleet.run_counts()
        records = [record for caller in callers for record in caller.records]
        duplicates = [key for key, count in runs.items() if count > 1]
        # `not-run` covers all earlier sends of the operation but not later ones, so only operations with no other outcome must not have run.
        false_refusals = [record for record in records if runs.get(record[0], 0) > 0 and all(outcome == "not-run" for outcome in record[1])]
        false_completions = [record for record in records if runs.get(record[0], 0) == 0 and "completed" in record[1]]
        unknown = sum(1 for _, outcomes in records if outcomes[-1] in ("unknown", "none"))
        print(f"seed {options.seed}: {len(records)} operations, faults {dict(injected)}, doubled {len(duplicates)}, falsely not-run {len(false_refusals)}, "
              f"falsely completed {len(false_completions)}, unknown at the end {unknown}")
        assert len(records) > 5
        assert not duplicates, duplicates
        assert not false_refusals, false_refusals
        assert not false_completions, false_completions
        wait_until(lambda: all(localfleet.alive(host["pid"]) and fleet.ready(host) for host in fleet.hosts), "all hosts ready")
        fleet.assert_no_violations()


if __name__ == "__main__":
    run_tests(globals())
