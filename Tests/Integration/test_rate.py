# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""An engine that advertises a maximum request rate gets no more than that from all hosts together.

Guards against hosts that ignore the advertised rate: engines that advertised 1 request/s got 13 in 4 s. See
docs/incidents/endpoints-that-name-their-rate.md.
"""

import threading
import time

from fleet import Fleet, run_tests, wait_until

RATE = 1  # requests per second
WINDOW = 4  # seconds
ALLOWED = 1.5 * RATE * WINDOW + 5


class Callers:
    """Threads that each send one request after another, to the hosts in `hosts` in turn."""

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


class RunSampler:
    """Samples the number of runs that an engine has started: (time before the sample, time after it, runs)."""

    def __init__(self, fleet, engine):
        self.fleet = fleet
        self.engine = engine
        self.samples = []

    def watch(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            before = time.monotonic()
            runs = len(self.fleet.runs(self.engine))
            self.samples.append((before, time.monotonic(), runs))
            time.sleep(0.1)

    def max_in_window(self):
        """Returns the largest number of runs between two samples that are at most WINDOW seconds apart."""
        return max(later[2] - earlier[2] for index, earlier in enumerate(self.samples) for later in self.samples[index:]
                   if later[1] - earlier[0] <= WINDOW)


def rate_events(fleet, event="endpoint-rate"):
    return [entry for host in fleet.hosts for entry in fleet.log(host) if entry["event"] == event]


def test_engine_stays_within_its_advertised_rate():
    """The limit also holds while the dispatcher is killed and replaced; the engine gets its usual share when it stops advertising a rate."""
    with Fleet("--hosts", 4, "--engines", 3, "--services", 1) as fleet:
        engine = fleet.endpoints("engine")[0]
        callers = Callers(fleet)
        wait_until(lambda: len(fleet.runs(engine)) > 5, "runs at the engine")
        fleet.set_faults(engine["address"], rate=str(RATE))
        row = {}

        def dispatched():
            rows = fleet.query(f"show endpoints where name = {engine['name']}")["rows"]
            row.update(rows[0] if rows else {})
            return row.get("rate") == RATE

        wait_until(dispatched, "the dispatcher to apply the rate")
        time.sleep(3)  # until then runs that were granted before the limit may still start
        sampler = RunSampler(fleet, engine)
        sampler.watch(5)
        killed = fleet.host(row["dispatcher"])
        callers.hosts.remove(killed)
        fleet.kill(killed)
        sampler.watch(6)
        assert sampler.max_in_window() <= ALLOWED, sampler.max_in_window()
        assert sampler.samples[-1][2] > sampler.samples[0][2], "the engine must still get runs"
        fleet.set_faults(engine["address"], rate="many")
        time.sleep(2)
        fleet.set_faults(engine["address"], rate="")
        before = len(fleet.runs(engine))
        wait_until(lambda: len(fleet.runs(engine)) >= before + 30, "the engine to get its usual share")
        callers.stop()
        successes = [status for status in callers.statuses if status == 200]
        assert len(successes) * 100 >= len(callers.statuses) * 98, callers.statuses
        assert any(entry["known"] == "limited" and entry["per-second"] == RATE for entry in rate_events(fleet))
        assert any(entry["known"] == "unlimited" for entry in rate_events(fleet))
        fleet.restart(killed)
        fleet.assert_no_violations()


if __name__ == "__main__":
    run_tests(globals())
