# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Hosts stop sending requests to engines whose responses announce that they leave or ask for a cooldown.

Guards against hosts that keep using such engines, see docs/incidents/endpoints-that-leave-or-ask-for-rest.md.
"""

import threading
import time

from fleet import Fleet, parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store

COOLDOWN_S = 3
UNCOUNTED = 0.5  # share of a cooldown, after the rejected run, in which requests are not counted; no test uses it
MAX_REQUESTS_IN_COOLDOWN = 2  # per host and cooldown


class Callers:
    """Threads that each send one request after another, to the hosts in turn."""

    def __init__(self, fleet, threads=4):
        self.fleet = fleet
        self.ended = threading.Event()
        self.statuses = []
        self.threads = [threading.Thread(target=self.send, args=(index,), daemon=True) for index in range(threads)]
        for thread in self.threads:
            thread.start()

    def send(self, index):
        count = index
        while not self.ended.is_set():
            count += 1
            host = self.fleet.hosts[count % len(self.fleet.hosts)]
            self.statuses.append(self.fleet.chat(host, f"{index} {count}", stream=count % 2 == 0, tokens=3).status)

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


def logged(fleet, event):
    return [(host, entry) for host in fleet.hosts for entry in fleet.log(host) if entry["event"] == event]


def test_leaving_engine_is_avoided_until_it_returns():
    with Fleet("--hosts", 4, "--engines", 3, "--services", 1) as fleet:
        fleet.command("create setting leaving-kept value 6")
        engine = fleet.endpoints("engine")[0]
        callers = Callers(fleet)
        wait_until(lambda: len(fleet.runs(engine)) > 5, "runs at the engine")
        fleet.set_faults(engine["address"], leaving="1")
        wait_until(lambda: logged(fleet, "endpoint-leaves"), "a host to log that the endpoint leaves")
        time.sleep(1)  # runs that were granted before the announcement may still start
        before = len(fleet.runs(engine))
        time.sleep(3)
        assert len(fleet.runs(engine)) == before, (len(fleet.runs(engine)), before)
        fleet.set_faults(engine["address"], leaving="")
        wait_until(lambda: len(fleet.runs(engine)) >= before + 10, "the engine to be used again")
        callers.stop()
        assert set(callers.statuses) == {200}, callers.statuses
        fleet.assert_no_violations()


def test_engine_gets_its_cooldown():
    with Fleet("--hosts", 4, "--engines", 3, "--services", 1) as fleet:
        engine = fleet.endpoints("engine")[0]
        callers = Callers(fleet)
        wait_until(lambda: len(fleet.runs(engine)) > 5, "runs at the engine")
        fleet.set_faults(engine["address"], **{"refuse": True, "retry-after": str(COOLDOWN_S)})
        time.sleep(2.5 * COOLDOWN_S)
        fleet.set_faults(engine["address"], refuse=False)
        before = len(fleet.runs(engine))
        wait_until(lambda: len(fleet.runs(engine)) >= before + 10, "the engine to be used again")
        callers.stop()
        cooldowns = [entry for _, entry in logged(fleet, "endpoint-rests") if entry["source"] == "answer"]
        assert cooldowns and all(entry["for-ms"] == COOLDOWN_S * 1000 for entry in cooldowns), cooldowns
        # Counts responses that reject a run during a cooldown; only requests sent before the host knew of the cooldown may get one.
        for host in fleet.hosts:
            rejections = [entry for entry in fleet.log(host) if entry["event"] == "endpoint-rests" and entry["source"] == "answer"
                      and entry["rested"]]
            assert len(rejections) <= MAX_REQUESTS_IN_COOLDOWN * 3, rejections
        successes = [status for status in callers.statuses if status == 200]
        assert len(successes) * 100 >= len(callers.statuses) * 98, callers.statuses
        fleet.assert_no_violations()


def test_unknown_header_values_are_ignored():
    with Fleet("--hosts", 2, "--engines", 2, "--services", 1) as fleet:
        engine = fleet.endpoints("engine")[0]
        fleet.set_faults(engine["address"], leaving="soon")
        callers = Callers(fleet, threads=2)
        wait_until(lambda: logged(fleet, "availability-unreadable"), "the unknown value to be logged")
        before = len(fleet.runs(engine))
        wait_until(lambda: len(fleet.runs(engine)) >= before + 10, "the engine to get more")
        callers.stop()
        assert set(callers.statuses) == {200}, callers.statuses
        assert not logged(fleet, "endpoint-leaves")


def send_to_both(hosts, count):
    """Sends @p count requests with unique names to each of the two hosts in turn and returns the statuses."""
    send_to_both.sent = getattr(send_to_both, "sent", 0) + count
    return [hosts.send(index, "GET", "/stream/x", f"{send_to_both.sent}-{number}-{index}").status
            for number in range(count) for index in range(2)]


def test_records_platform_endpoint_announcements_during_store_outage():
    store = Store()
    models = [Endpoint("i-m1"), Endpoint("i-m2")]
    hosts = Hosts(parse_options().bin, [store.address, store.address])
    try:
        store.put("op", "config", CONFIGURATION)
        for model in models:
            store.put("servers", model.name, model.row("model"))
        hosts.wait_ready()
        wait_until(lambda: all(status == 200 for status in send_to_both(hosts, 3)), "all to be served")
        store.down = True
        models[0].leaving = True
        models[1].reject = True  # so that requests go to the leaving endpoint
        wait_until(lambda: any(entry["event"] == "endpoint-leaves" for index in range(2) for entry in hosts.log(index))
                   or not send_to_both(hosts, 1), "a host to log that the endpoint leaves")
        models[1].reject = False
        before = len(models[0].runs)
        wait_until(lambda: all(status == 200 for status in send_to_both(hosts, 3)), "the other to serve all")
        assert len(models[0].runs) == before
        models[1].reject, models[1].retry_after = True, "7"  # seconds; longer than the deadline of the requests
        wait_until(lambda: any(entry["event"] == "endpoint-rests" for index in range(2) for entry in hosts.log(index))
                   or not send_to_both(hosts, 1), "a host to log the cooldown")
        rejected_before = models[1].rejected_count
        begin = time.monotonic()
        statuses = send_to_both(hosts, 4)
        assert set(statuses) == {503} and time.monotonic() < begin + 2, (statuses, time.monotonic() - begin)
        retry_after = float(hosts.send(0, "GET", "/stream/x", "told").headers["retry-after"])
        assert 4 < retry_after < 8, retry_after
        # Each host may send one request before it gets the cooldown.
        assert models[1].rejected_count <= rejected_before + 2, (models[1].rejected_count, rejected_before)
        models[1].reject = False
        wait_until(lambda: all(status == 200 for status in send_to_both(hosts, 3)), "all to be served after the cooldown")
        assert len(models[0].runs) == before
        assert hosts.stop() == [0, 0]
    finally:
        store.closing.set()
        for process in hosts.processes:
            process.kill()


if __name__ == "__main__":
    run_tests(globals())
