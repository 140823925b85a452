# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""At-most-once execution and correct `not-run` outcomes when hosts are killed or paused, responses are lost or the store is down."""

import pathlib
import signal

from fleet import Fleet, in_background, localfleet, run_tests, wait_until


def test_tickets():
    with Fleet("--hosts", 3, "--engines", 1, "--services", 1) as fleet:
        first, second, third = fleet.hosts
        service = fleet.endpoints("service")[0]
        # A retry at another host returns the stored response.
        ticket = fleet.ticket(first)
        responses = [fleet.operation(host, ticket) for host in (first, second, third)]
        assert [response.status for response in responses] == [200, 200, 200], [response.body for response in responses]
        assert len({response.body for response in responses}) == 1
        other_body = fleet.operation(second, ticket, "other")
        assert (other_body.status, other_body.error) == (422, "idempotency-key-reused"), other_body.body
        # Three hosts get the same ticket: one run; the caller with `Prefer: wait` gets its response, the other one `in-progress`.
        fleet.set_faults(service["address"], slow=40)
        ticket = fleet.ticket(first)
        thread, results = in_background(fleet.operation, first, ticket)
        wait_until(lambda: fleet.run_counts().get(ticket) == 1, "the first run")
        waiting, waited = in_background(fleet.operation, second, ticket, Prefer="wait")
        busy = fleet.operation(third, ticket)
        assert (busy.status, busy.error) == (409, "in-progress"), busy.body
        thread.join()
        waiting.join()
        assert results[0].status == waited[0].status == 200 and results[0].body == waited[0].body, waited[0].body
        fleet.set_faults(service["address"], slow=1)
        # The store is down: tickets work, and an operation with the caller's own key is refused as not run.
        fleet.set_faults(fleet.data["platform"]["address"], down=True)
        assert fleet.operation(second, fleet.ticket(first)).status == 200
        refused = fleet.operation(first, "own-key-1")
        assert (refused.status, refused.error, refused.outcome) == (503, "store-unavailable", "not-run"), refused.body
        fleet.set_faults(fleet.data["platform"]["address"], down=False)
        assert fleet.operation(first, "own-key-1").status == 200
        assert all(count == 1 for count in fleet.run_counts().values()), fleet.run_counts()
        fleet.assert_no_violations()


def test_own_keys():
    with Fleet("--hosts", 3, "--engines", 1, "--services", 1) as fleet:
        first, second, third = fleet.hosts
        platform = fleet.data["platform"]["address"]
        background = [in_background(fleet.operation, host, "same-key", Prefer="wait") for host in fleet.hosts]
        for thread, _ in background:
            thread.join()
        responses = [results[0] for _, results in background]
        assert [response.status for response in responses] == [200, 200, 200], [response.body for response in responses]
        # The store loses all responses to writes: the host reads a claim back to find out whether it was written.
        fleet.set_faults(platform, lose_percent=100)
        assert fleet.operation(second, "settled-key").status == 200
        fleet.set_faults(platform, lose_percent=0)
        another = fleet.operation(third, "settled-key")
        assert another.status == 200 and another.headers.get("yokepond-replayed") == "yes", another.body
        organisations = list(fleet.data["callerKeys"])
        independent = fleet.operation(third, "same-key", organisation=organisations[1])
        assert independent.status == 200
        counts = fleet.run_counts()
        assert counts == {"same-key": 2, "settled-key": 1}, counts
        fleet.assert_no_violations()


def test_home_killed():
    with Fleet("--hosts", 3, "--engines", 1, "--services", 1) as fleet:
        first, second, third = fleet.hosts
        service = fleet.endpoints("service")[0]
        completed, running, own_key = fleet.ticket(first), fleet.ticket(first), "own-key"
        assert fleet.operation(first, completed).status == 200
        wait_until(lambda: fleet.dump(first)["operations"]["unrecorded"] == 0, "the recorded outcome")
        fleet.set_faults(service["address"], stall=True)
        background = [in_background(fleet.operation, first, key) for key in (running, own_key)]
        wait_until(lambda: len(fleet.run_counts()) == 3, "three runs")
        fleet.kill(first)
        for thread, results in background:
            thread.join()
            assert results[0].status == 0
        fleet.wait_for_member_state("h1", "dead", hosts=[second, third])
        fleet.set_faults(service["address"], stall=False)
        recorded = fleet.operation(second, completed)
        assert (recorded.status, recorded.outcome) == (410, "completed"), recorded.body
        for key in (running, own_key):
            unknown = fleet.operation(third, key)
            assert (unknown.error, unknown.outcome) == ("outcome-unknown", "unknown"), unknown.body
        # The restarted host, a new incarnation, does not run them again either.
        fleet.restart(first)
        assert fleet.operation(first, running).outcome == "unknown"
        assert fleet.operation(first, own_key).outcome == "unknown"
        assert all(count == 1 for count in fleet.run_counts().values()), fleet.run_counts()
        fleet.assert_no_violations()


def test_home_paused():
    with Fleet("--hosts", 3, "--engines", 1, "--services", 1) as fleet:
        first, second, third = fleet.hosts
        ticket = fleet.ticket(first)
        fleet.signal(first, signal.SIGSTOP)
        fleet.wait_for_member_state("h1", "dead", hosts=[second, third])
        paused = fleet.operation(second, ticket)
        assert paused.outcome == "unknown", paused.body
        fleet.signal(first, signal.SIGCONT)
        fleet.wait_for_member_state("h1", "alive")
        late = fleet.operation(third, ticket)
        assert late.status == 200, late.body
        assert fleet.run_counts() == {ticket: 1}
        fleet.assert_no_violations()


def test_responses_broken_off():
    """A response that the service breaks off gives `unknown` and no second run; a service that is down gives `not-run`."""
    with Fleet("--hosts", 2, "--engines", 1, "--services", 1) as fleet:
        first, second = fleet.hosts
        service = fleet.endpoints("service")[0]
        fleet.set_faults(service["address"], cut_percent=100)
        ticket = fleet.ticket(first)
        broken_off = fleet.operation(first, ticket)
        assert (broken_off.error, broken_off.outcome) == ("outcome-unknown", "unknown"), broken_off.body
        again = fleet.operation(second, ticket)
        assert again.outcome == "unknown", again.body
        assert fleet.run_counts() == {ticket: 1}
        fleet.set_faults(service["address"], cut_percent=0)
        request_count = len(fleet.runs(service))
        fleet.kill({"pid": service["pid"]})
        unreachable = fleet.operation(first, fleet.ticket(first))
        assert unreachable.outcome == "not-run" and unreachable.status in (502, 503, 504), unreachable.body
        assert request_count == 1
        fleet.assert_no_violations()


def test_planned_stop():
    with Fleet("--hosts", 3, "--engines", 2, "--services", 1, "--balancer-lag-ms", 500) as fleet:
        first, second, third = fleet.hosts
        background = [in_background(fleet.chat, first, f"stop {index}", "draft", True, 60) for index in range(8)]
        wait_until(lambda: len(fleet.query("show requests where home = h1")["rows"]) == 8, "eight requests")
        fleet.signal(first, signal.SIGTERM)
        wait_until(lambda: not fleet.ready(first), "not ready")
        # The load balancer still sends requests here.
        assert fleet.chat(first, "late").status == 200
        fleet.wait_for_member_state("h1", "leaving", hosts=[second, third])
        for thread, results in background:
            thread.join()
            assert results[0].body.rstrip().endswith("[DONE]"), results[0].body[-200:]
        wait_until(lambda: not localfleet.alive(first["pid"]), "the end of the stop")
        assert '"drained":true' in pathlib.Path(fleet.directory, "h1.err").read_text()
        assert fleet.chat(second, "after").status == 200


if __name__ == "__main__":
    run_tests(globals())
