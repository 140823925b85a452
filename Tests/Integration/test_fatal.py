# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A request that ends each engine that begins it, at real hosts.

What was seen: one request came again and again, at any host and under a new name each time, and ended 29 engines in 18 s. Cause: nothing
tied a new try to the engines that had ended under the same work. See docs/incidents/requests-that-end-their-engines.md.
"""

from fleet import Fleet, in_background, localfleet, run_tests, wait_until

MARK = "the dam that ends engines"
ENGINES = 6
MOST_ENDINGS = 3


def mark_engines(fleet):
    for engine in fleet.endpoints("engine"):
        fleet.faults(engine["address"], ends_on=MARK)


def alive(fleet):
    return sum(localfleet.alive(engine["pid"]) for engine in fleet.endpoints("engine"))


def held(fleet, host):
    return [row for row in fleet.query("show quarantine where state = held", host)["rows"] if row["host"] == host["name"]]


def test_work_that_ends_engines_is_held_at_all_hosts():
    """Three engines end; then no host begins it, others are served, and a host that starts anew knows."""
    with Fleet("--hosts", 4, "--engines", ENGINES, "--services", 1) as fleet:
        mark_engines(fleet)
        answers = [fleet.chat(fleet.hosts[index % 4], MARK, stream=True, **{"Yokepond-Try": str(index)}) for index in range(12)]
        assert alive(fleet) == ENGINES - MOST_ENDINGS, alive(fleet)
        told = answers[-6:]
        assert all(answer.status == 422 and answer.error == "ends-endpoints" for answer in told), [answer.body for answer in told]
        assert all(answer.outcome == "not-run" and "retry-after" not in answer.headers for answer in told)
        assert all(len(held(fleet, host)) == 1 for host in fleet.hosts)
        for index in range(8):
            assert fleet.chat(fleet.hosts[index % 4], f"harmless {index}").status == 200
        killed = fleet.hosts[1]
        fleet.kill(killed)
        fleet.restart(killed)
        wait_until(lambda: len(held(fleet, killed)) == 1, "what a host that starts anew is told", 3)
        assert fleet.chat(killed, MARK, stream=True).error == "ends-endpoints"
        assert alive(fleet) == ENGINES - MOST_ENDINGS
        fleet.no_violations()


def test_many_at_once_end_no_more_engines_than_were_reached():
    """Sixteen copies at once, in four engines' queues: when the third has ended, what waits at the others is taken back."""
    with Fleet("--hosts", 4, "--engines", ENGINES, "--services", 1) as fleet:
        mark_engines(fleet)
        background = [in_background(fleet.chat, fleet.hosts[index % 4], MARK, None, True, 5) for index in range(16)]
        for thread, _ in background:
            thread.join()
        wait_until(lambda: all(len(held(fleet, host)) == 1 for host in fleet.hosts), "work that is held everywhere", 3)
        left = alive(fleet)
        for index in range(12):
            assert fleet.chat(fleet.hosts[index % 4], MARK, stream=True).error == "ends-endpoints"
        assert alive(fleet) == left
        fleet.no_violations()


def test_an_operator_releases_work():
    """Once its engines are mended, an operator need not wait."""
    with Fleet("--hosts", 3, "--engines", ENGINES, "--services", 1) as fleet:
        mark_engines(fleet)
        for index in range(8):
            fleet.chat(fleet.hosts[index % 3], MARK)
        work = held(fleet, fleet.hosts[0])[0]["work"]
        for engine in fleet.endpoints("engine"):
            if localfleet.alive(engine["pid"]):
                fleet.faults(engine["address"], ends_on="")
        assert fleet.command("release work 00000000000000aa", fleet.hosts[0]).status == 404
        assert fleet.command(f"release work {work}", fleet.hosts[0]).status == 200
        wait_until(lambda: not any(held(fleet, host) for host in fleet.hosts), "work that was released everywhere", 3)
        answers = [fleet.chat(host, MARK) for host in fleet.hosts]
        assert all(answer.status == 200 for answer in answers), [answer.body for answer in answers]
        fleet.no_violations()


if __name__ == "__main__":
    run_tests(globals())
