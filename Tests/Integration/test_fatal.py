# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A request that crashes every engine that starts it is quarantined at all hosts.

Guards against retries that crash one engine after another: one request that callers repeated at different hosts with new request ids
crashed 29 engines in 18 s, because hosts did not relate it to the earlier crashes under the same work (the hash of what a request asks
for). See docs/incidents/requests-that-end-their-engines.md.
"""

from fleet import Fleet, in_background, localfleet, run_tests, wait_until

MARK = "the dam that ends engines"
ENGINES = 6
MAX_CRASHES = 3


def crash_engines_on_mark(fleet):
    for engine in fleet.endpoints("engine"):
        fleet.set_faults(engine["address"], ends_on=MARK)


def no_engine_is_exiting(fleet):
    """A process closes its sockets before it has ended, so that a caller sees the crash before the process list does."""
    return all(localfleet.alive(engine["pid"]) == localfleet.listens(engine["address"]) for engine in fleet.endpoints("engine"))


def count_live_engines(fleet):
    wait_until(lambda: no_engine_is_exiting(fleet), "the end of the crashed engines", 3)
    return sum(localfleet.alive(engine["pid"]) for engine in fleet.endpoints("engine"))


def quarantined(fleet, host):
    return [row for row in fleet.query("show quarantine where state = held", host)["rows"] if row["host"] == host["name"]]


def test_crashing_work_is_quarantined_at_all_hosts():
    """After three crashes no host starts the work, other work is served, and a restarted host gets the quarantine from its peers."""
    with Fleet("--hosts", 4, "--engines", ENGINES, "--services", 1) as fleet:
        crash_engines_on_mark(fleet)
        responses = [fleet.chat(fleet.hosts[index % 4], MARK, stream=True, **{"Yokepond-Try": str(index)}) for index in range(12)]
        assert count_live_engines(fleet) == ENGINES - MAX_CRASHES, count_live_engines(fleet)
        last_responses = responses[-6:]
        assert all(response.status == 422 and response.error == "ends-endpoints" for response in last_responses), [response.body for response in last_responses]
        assert all(response.outcome == "not-run" and "retry-after" not in response.headers for response in last_responses)
        assert all(len(quarantined(fleet, host)) == 1 for host in fleet.hosts)
        for index in range(8):
            assert fleet.chat(fleet.hosts[index % 4], f"harmless {index}").status == 200
        killed = fleet.hosts[1]
        fleet.kill(killed)
        fleet.restart(killed)
        wait_until(lambda: len(quarantined(fleet, killed)) == 1, "the quarantine at the restarted host", 3)
        assert fleet.chat(killed, MARK, stream=True).error == "ends-endpoints"
        assert count_live_engines(fleet) == ENGINES - MAX_CRASHES
        fleet.assert_no_violations()


def test_queued_copies_are_withdrawn_after_the_quarantine():
    """Sixteen copies are sent at once; when the third engine crashes, copies that still wait for an engine are withdrawn."""
    with Fleet("--hosts", 4, "--engines", ENGINES, "--services", 1) as fleet:
        crash_engines_on_mark(fleet)
        background = [in_background(fleet.chat, fleet.hosts[index % 4], MARK, None, True, 5) for index in range(16)]
        for thread, _ in background:
            thread.join()
        wait_until(lambda: all(len(quarantined(fleet, host)) == 1 for host in fleet.hosts), "the quarantine at all hosts", 3)
        engines_left = count_live_engines(fleet)
        for index in range(12):
            assert fleet.chat(fleet.hosts[index % 4], MARK, stream=True).error == "ends-endpoints"
        assert count_live_engines(fleet) == engines_left
        fleet.assert_no_violations()


def test_an_operator_releases_work():
    """An operator can release quarantined work when its engines are repaired."""
    with Fleet("--hosts", 3, "--engines", ENGINES, "--services", 1) as fleet:
        crash_engines_on_mark(fleet)
        for index in range(8):
            fleet.chat(fleet.hosts[index % 3], MARK)
        work = quarantined(fleet, fleet.hosts[0])[0]["work"]
        wait_until(lambda: no_engine_is_exiting(fleet), "the end of the crashed engines", 3)
        for engine in fleet.endpoints("engine"):
            if localfleet.alive(engine["pid"]):
                fleet.set_faults(engine["address"], ends_on="")
        assert fleet.command("release work 00000000000000aa", fleet.hosts[0]).status == 404
        assert fleet.command(f"release work {work}", fleet.hosts[0]).status == 200
        wait_until(lambda: not any(quarantined(fleet, host) for host in fleet.hosts), "the release at all hosts", 3)
        responses = [fleet.chat(host, MARK) for host in fleet.hosts]
        assert all(response.status == 200 for response in responses), [response.body for response in responses]
        fleet.assert_no_violations()


if __name__ == "__main__":
    run_tests(globals())
