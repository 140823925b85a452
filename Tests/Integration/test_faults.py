# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Faults of connections, engines, dispatchers and the store in a fleet of real processes, most of them injected by the fault proxy."""

import json
import signal

from fleet import Fleet, in_background, request, run_tests, wait_until


def test_points_of_no_return():
    """The connection to a service breaks before or after the bytes that may start a run: the outcome is `not-run` only if the service ran nothing."""
    with Fleet("--hosts", 2, "--engines", 1, "--services", 1, "--proxy") as fleet:
        first, second = fleet.hosts
        # Turns the ejection of slow endpoints off, so that the service stays in use despite the faults that this test injects.
        assert fleet.command("create setting eject-slow value no", Yokepond_Wait="yes").status == 200
        for cut in (0, 1, 20, 100, 200, 300, 350, 380, 400, 420, 440, 460, 480, 500, 520, 600):
            fleet.set_route_faults("s1", cut_after_forward=cut)
            ticket = fleet.ticket(first)
            response = fleet.operation(first, ticket, "x" * 100)
            fleet.set_route_faults("s1")
            runs = fleet.run_counts().get(ticket, 0)
            assert runs <= 1
            assert response.outcome in ("not-run", "unknown", "completed"), response.body
            assert response.outcome != "not-run" or runs == 0, (cut, response.body)
            assert response.outcome != "completed" or runs == 1, (cut, response.body)
            again = fleet.operation(second, ticket, "x" * 100)
            assert fleet.run_counts().get(ticket, 0) <= 1, cut
            assert response.outcome != "unknown" or again.outcome == "unknown", (cut, again.body)
        for cut in (0, 1, 10, 50, 100):
            fleet.set_route_faults("s1", cut_after_backward=cut)
            ticket = fleet.ticket(first)
            response = fleet.operation(first, ticket)
            assert response.outcome == "unknown", (cut, response.body)
            fleet.set_route_faults("s1")
            assert fleet.run_counts()[ticket] == 1
        fleet.set_route_faults("s1", refuse=True)
        refused = fleet.operation(first, fleet.ticket(first))
        assert refused.outcome != "completed", refused.body
        fleet.assert_no_violations()


def events_of(response):
    return [line[6:] for line in response.body.splitlines() if line.startswith("data: ")]


def test_streams_resume():
    """A stream whose connection breaks is resumed at the same engine, and no event is lost or repeated."""
    with Fleet("--hosts", 2, "--engines", 1, "--services", 1, "--proxy") as fleet:
        first = fleet.hosts[0]
        expected = events_of(fleet.chat(first, "resume me", stream=True, tokens=30))
        for cut in (700, 1500, 2500):
            fleet.set_route_faults("e1", cut_after_backward=cut)
            response = fleet.chat(first, "resume me", stream=True, tokens=30)
            texts = [json.loads(event)["choices"][0]["delta"]["content"] for event in events_of(response)[:-1] if "choices" in event]
            wanted = [json.loads(event)["choices"][0]["delta"]["content"] for event in expected[:-1]]
            complete = events_of(response)[-1] == "[DONE]"
            # Each resumed connection breaks as well, so a long stream may stay incomplete; it must then end in an explicit error.
            assert texts == wanted[: len(texts)], texts
            assert complete and len(texts) == 30 or "event: error" in response.body, response.body[-300:]
            fleet.set_route_faults("e1")
        assert fleet.metric(first, "yokepond_streams_resumed_total") >= 3
        fleet.set_faults(fleet.endpoints("engine")[0]["address"], cut_percent=100)
        response = fleet.chat(first, "resume me", stream=True, tokens=30)
        assert events_of(response) == [event.replace(json.loads(expected[0])["id"], response.headers["yokepond-request"]) for event in expected], response.body
        fleet.assert_no_violations()


def is_complete_or_error(response):
    """Whether the response is complete or reports an error: by an event of the stream or, before the first event, by a status and error type."""
    if response.status == 200:
        return response.body.rstrip().endswith("[DONE]") or "event: error" in response.body
    return response.status in (502, 503, 504) and response.error != "" and response.outcome in ("unknown", "not-run")


def test_engine_crash_before_the_first_event():
    """More runs break than the retry budget covers: some callers get an explicit error in place of a stream, and none an incomplete response."""
    with Fleet("--hosts", 2, "--engines", 2, "--services", 1) as fleet:
        first = fleet.hosts[0]
        for engine in fleet.endpoints("engine"):
            fleet.set_faults(engine["address"], slow=200)
        background = [in_background(fleet.chat, first, f"early {index}", "bulletin", True, 5) for index in range(12)]
        wait_until(lambda: sum(len(fleet.runs(engine)) for engine in fleet.endpoints("engine")) == 12, "twelve runs")
        for engine in fleet.endpoints("engine"):
            request(engine["address"], "POST", "/faults", body='{"crash": true}')
        responses = []
        for thread, results in background:
            thread.join()
            responses.append(results[0])
        assert all(is_complete_or_error(response) for response in responses), [(response.status, response.body[-200:]) for response in responses]
        assert any(response.status != 200 for response in responses)
        fleet.assert_no_violations()


def test_engine_crash_mid_stream():
    with Fleet("--hosts", 2, "--engines", 2, "--services", 1) as fleet:
        first = fleet.hosts[0]
        background = [in_background(fleet.chat, first, f"crash {index}", "bulletin", True, 200) for index in range(6)]
        wait_until(lambda: sum(len(fleet.runs(engine)) for engine in fleet.endpoints("engine")) == 6, "six runs")
        # Waits until the streams have begun, because a run without an event may be retried or end with an error status.
        wait_until(lambda: fleet.metric(first, "yokepond_events_relayed_total") >= 60, "events of the streams")
        crashed = fleet.endpoints("engine")[0]
        request(crashed["address"], "POST", "/faults", body='{"crash": true}')
        for thread, results in background:
            thread.join()
            response = results[0]
            assert response.status == 200 and is_complete_or_error(response), (response.status, response.body[-300:])
        # Afterwards requests go to the other engine.
        for index in range(6):
            assert fleet.chat(first, f"after {index}").status == 200
        fleet.assert_no_violations()


def test_dispatcher_lost():
    """Requests at the other hosts succeed while the host of the dispatcher is paused, then receives nothing, and finally is killed."""
    with Fleet("--hosts", 4, "--engines", 2, "--services", 1, "--proxy") as fleet:
        rows = fleet.query("show dispatchers where pool = drafting")["rows"]
        dispatcher = fleet.host(rows[0]["host"])
        others = [host for host in fleet.hosts if host is not dispatcher]
        fleet.signal(dispatcher, signal.SIGSTOP)
        background = [in_background(fleet.chat, others[index % 3], f"paused {index}", "draft") for index in range(12)]
        for thread, results in background:
            thread.join()
            assert results[0].status == 200, results[0].body
        fleet.wait_for_member_state(dispatcher["name"], "dead", hosts=others)
        fleet.signal(dispatcher, signal.SIGCONT)
        fleet.wait_for_member_state(dispatcher["name"], "alive")
        # The dispatcher receives nothing from now on but can still send.
        fleet.set_route_faults(f"peer-{dispatcher['name']}", blackhole_forward=True)
        background = [in_background(fleet.chat, others[index % 3], f"deaf {index}", "draft") for index in range(12)]
        for thread, results in background:
            thread.join()
            assert results[0].status == 200, results[0].body
        fleet.set_route_faults(f"peer-{dispatcher['name']}", cut=True)
        fleet.wait_for_member_state(dispatcher["name"], "alive", 20)
        fleet.kill(dispatcher)
        background = [in_background(fleet.chat, others[index % 3], f"killed {index}", "draft") for index in range(12)]
        for thread, results in background:
            thread.join()
            assert results[0].status == 200, results[0].body
        fleet.assert_no_violations()


def test_leaving_endpoint():
    with Fleet("--hosts", 3, "--engines", 2, "--services", 1) as fleet:
        first = fleet.hosts[0]
        leaving, staying = fleet.endpoints("engine")
        listed = [{"name": leaving["name"], "address": leaving["address"], "role": "endpoint", "state": "leaving"}]
        request(fleet.data["platform"]["address"], "POST", "/hosts", body=json.dumps(listed))
        drained = lambda: fleet.query(f"show endpoints where name = {leaving['name']}")["rows"][0]["state"] == "drained"
        wait_until(drained, "the leaving endpoint to be drained", 5)
        before = len(fleet.runs(leaving))
        for index in range(10):
            assert fleet.chat(first, f"leave {index}").status == 200
        assert len(fleet.runs(leaving)) == before
        assert fleet.command(f"drain endpoint {staying['name']}", Yokepond_Wait="yes").status == 200
        nowhere = fleet.chat(first, "nowhere", "bulletin", timeout=40)
        assert nowhere.outcome == "not-run", nowhere.body
        fleet.assert_no_violations()


def test_configuration_never_reverts():
    with Fleet("--hosts", 3, "--engines", 1, "--services", 1, "--proxy") as fleet:
        first, second, third = fleet.hosts
        platform = fleet.data["platform"]["address"]
        revision = lambda host: fleet.dump(host)["revision"]
        # One host cannot reach the store and gets changes from its peers.
        fleet.set_route_faults("store-h3", refuse=True, cut=True)
        accepted = fleet.command("create tier one rank 50", first)
        assert accepted.status == 200
        wait_until(lambda: revision(third) == accepted.json()["revision"], "the change at the host without the store", 5)
        cut_off = fleet.command("create tier two rank 51", third)
        assert cut_off.status == 503 and cut_off.json()["error"]["type"] == "store-unavailable", cut_off.body
        fleet.set_route_faults("store-h3")
        # The store loses its table: hosts keep their configuration and refuse changes, which would build on the older table.
        now = revision(first)
        fleet.set_faults(platform, forget=True)
        refused = fleet.command("create tier three rank 52", second)
        assert refused.status == 503, refused.body
        assert [revision(host) for host in fleet.hosts] == [now] * 3
        # A host that starts during a store outage gets the configuration from its peers.
        fleet.set_faults(platform, down=True)
        fleet.kill(third)
        fleet.restart(third)
        assert revision(third) == now
        fleet.assert_no_violations()


def test_concurrent_commands():
    """Operators send conflicting commands to different hosts while a third of the store's write responses are lost."""
    with Fleet("--hosts", 4, "--engines", 1, "--services", 1) as fleet:
        fleet.set_faults(fleet.data["platform"]["address"], lose_percent=33)
        accepted, rejected, other = [], [], []

        def operate(index):
            for step in range(6):
                host = fleet.hosts[(index + step) % 4]
                statement = f"create pool race-{step}" if index % 2 else f"create pool own-{index}-{step}"
                response = fleet.command(statement, host, Yokepond_Reason=f"{index}/{step}")
                kind = accepted if response.status == 200 else rejected if response.status == 409 else other
                kind.append((f"{index}/{step}", response.body))

        threads = [in_background(operate, index)[0] for index in range(8)]
        for thread in threads:
            thread.join()
        fleet.set_faults(fleet.data["platform"]["address"], lose_percent=0)
        assert not other, other
        last = max(json.loads(body)["revision"] for _, body in accepted)
        wait_until(lambda: all(fleet.dump(host)["revision"] == last for host in fleet.hosts), "one revision everywhere")
        reasons = [[row["reason"] for row in fleet.query("show changes order by revision", host)["rows"]] for host in fleet.hosts]
        for logged in reasons:
            assert logged == reasons[0]
            assert sorted(entry for entry in logged if "/" in entry) == sorted(name for name, _ in accepted)
        pools = [row["name"] for row in fleet.query("show pools")["rows"]]
        assert all(pools.count(f"race-{step}") == 1 for step in range(6)), pools
        fleet.assert_no_violations()


if __name__ == "__main__":
    run_tests(globals())
