# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""An engine that names the requests a second it takes, at real hosts.

What was seen: engines that had named 1 a second got 13 in 4 s. Cause: nothing read the word. See
docs/incidents/endpoints-that-name-their-rate.md.
"""

import threading
import time

from fleet import Fleet, run_tests, wait_until

RATE = 1
WINDOW = 4
ALLOWED = 1.5 * RATE * WINDOW + 5


class Callers:
    """Threads that send one request after the other, to host after host; those that are there."""

    def __init__(self, fleet, threads=4):
        self.fleet = fleet
        self.ended = threading.Event()
        self.hosts = list(fleet.hosts)
        self.statuses = []
        self.threads = [threading.Thread(target=self.send, args=(index,), daemon=True) for index in range(threads)]
        for thread in self.threads:
            thread.start()

    def send(self, index):
        count = index
        while not self.ended.is_set():
            count += 1
            host = self.hosts[count % len(self.hosts)]
            self.statuses.append(self.fleet.chat(host, f"{index} {count}", stream=count % 2 == 0, tokens=3).status)

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


class Arrivals:
    """The runs that an engine had begun, by the time at which that was known."""

    def __init__(self, fleet, engine):
        self.fleet = fleet
        self.engine = engine
        self.seen = []

    def watch(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            before = time.monotonic()
            runs = len(self.fleet.runs(self.engine))
            self.seen.append((before, time.monotonic(), runs))
            time.sleep(0.1)

    def most_in_window(self):
        """Between two looks that are certainly no more than a window apart."""
        return max(later[2] - earlier[2] for index, earlier in enumerate(self.seen) for later in self.seen[index:]
                   if later[1] - earlier[0] <= WINDOW)


def known(fleet, event="endpoint-rate"):
    return [entry for host in fleet.hosts for entry in fleet.log(host) if entry["event"] == event]


def test_an_engine_gets_what_it_says_it_takes():
    """Also while its dispatcher is killed and another takes over; and its share again when it names no rate any more."""
    with Fleet("--hosts", 4, "--engines", 3, "--services", 1) as fleet:
        engine = fleet.endpoints("engine")[0]
        callers = Callers(fleet)
        wait_until(lambda: len(fleet.runs(engine)) > 5, "runs at the engine")
        fleet.faults(engine["address"], rate=str(RATE))
        row = {}

        def dispatched():
            rows = fleet.query(f"show endpoints where name = {engine['name']}")["rows"]
            row.update(rows[0] if rows else {})
            return row.get("rate") == RATE

        wait_until(dispatched, "the dispatcher to know the rate")
        time.sleep(3)  # until then what was on its way before counts too
        arrivals = Arrivals(fleet, engine)
        arrivals.watch(5)
        killed = fleet.host(row["dispatcher"])
        callers.hosts.remove(killed)
        fleet.kill(killed)
        arrivals.watch(6)
        assert arrivals.most_in_window() <= ALLOWED, arrivals.most_in_window()
        assert arrivals.seen[-1][2] > arrivals.seen[0][2], "it is still to be used"
        fleet.faults(engine["address"], rate="many")
        time.sleep(2)
        fleet.faults(engine["address"], rate="")
        before = len(fleet.runs(engine))
        wait_until(lambda: len(fleet.runs(engine)) >= before + 30, "the engine to get its share again")
        callers.stop()
        answered = [status for status in callers.statuses if status == 200]
        assert len(answered) * 100 >= len(callers.statuses) * 98, callers.statuses
        assert any(entry["known"] == "limited" and entry["per-second"] == RATE for entry in known(fleet))
        assert any(entry["known"] == "unlimited" for entry in known(fleet))
        fleet.restart(killed)
        fleet.no_violations()


if __name__ == "__main__":
    run_tests(globals())
