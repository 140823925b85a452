# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Cuts, blackholes and delays between real processes, behind the fault proxy."""

import json
import signal

from fleet import Fleet, in_background, request, run_tests, wait_until


def test_points_of_no_return():
    """The connection to a service is cut after each number of bytes that matters; `not-run` is said only if nothing ran."""
    with Fleet("--hosts", 2, "--engines", 1, "--services", 1, "--proxy") as fleet:
        first, second = fleet.hosts
        # The faults are this test's own; the service must not be ejected for them.
        assert fleet.command("create setting eject-slow value no", Yokepond_Wait="yes").status == 200
        for cut in (0, 1, 20, 100, 200, 300, 350, 380, 400, 420, 440, 460, 480, 500, 520, 600):
            fleet.break_route("s1", cut_after_forward=cut)
            ticket = fleet.ticket(first)
            answer = fleet.operation(first, ticket, "x" * 100)
            fleet.break_route("s1")
            runs = fleet.run_counts().get(ticket, 0)
            assert runs <= 1
            assert answer.outcome in ("not-run", "unknown", "completed"), answer.body
            assert answer.outcome != "not-run" or runs == 0, (cut, answer.body)
            assert answer.outcome != "completed" or runs == 1, (cut, answer.body)
            again = fleet.operation(second, ticket, "x" * 100)
            assert fleet.run_counts().get(ticket, 0) <= 1, cut
            assert answer.outcome != "unknown" or again.outcome == "unknown", (cut, again.body)
        for cut in (0, 1, 10, 50, 100):
            fleet.break_route("s1", cut_after_backward=cut)
            ticket = fleet.ticket(first)
            answer = fleet.operation(first, ticket)
            assert answer.outcome == "unknown", (cut, answer.body)
            fleet.break_route("s1")
            assert fleet.run_counts()[ticket] == 1
        fleet.break_route("s1", refuse=True)
        refused = fleet.operation(first, fleet.ticket(first))
        assert refused.outcome != "completed", refused.body
        fleet.no_violations()


def events_of(answer):
    return [line[6:] for line in answer.body.splitlines() if line.startswith("data: ")]


def test_streams_resume():
    """A stream cut on its way is resumed at the same engine: no event is lost or comes twice."""
    with Fleet("--hosts", 2, "--engines", 1, "--services", 1, "--proxy") as fleet:
        first = fleet.hosts[0]
        expected = events_of(fleet.chat(first, "resume me", stream=True, tokens=30))
        for cut in (700, 1500, 2500):
            fleet.break_route("e1", cut_after_backward=cut)
            answer = fleet.chat(first, "resume me", stream=True, tokens=30)
            texts = [json.loads(event)["choices"][0]["delta"]["content"] for event in events_of(answer)[:-1] if "choices" in event]
            wanted = [json.loads(event)["choices"][0]["delta"]["content"] for event in expected[:-1]]
            complete = events_of(answer)[-1] == "[DONE]"
            # Each resumed connection is cut as well, so that a long stream ends in an explicit error; never in silence.
            assert texts == wanted[: len(texts)], texts
            assert complete and len(texts) == 30 or "event: error" in answer.body, answer.body[-300:]
            fleet.break_route("e1")
        assert fleet.metric(first, "yokepond_streams_resumed_total") >= 3
        fleet.faults(fleet.endpoints("engine")[0]["address"], cut_percent=100)
        answer = fleet.chat(first, "resume me", stream=True, tokens=30)
        assert events_of(answer) == [event.replace(json.loads(expected[0])["id"], answer.headers["yokepond-request"]) for event in expected], answer.body
        fleet.no_violations()


def ended_openly(answer):
    """Whole, or ended by an explicit error: an event of the stream, or where no event has been sent a status and a typed body."""
    if answer.status == 200:
        return answer.body.rstrip().endswith("[DONE]") or "event: error" in answer.body
    return answer.status in (502, 503, 504) and answer.error != "" and answer.outcome in ("unknown", "not-run")


def test_engine_crash_before_the_first_event():
    """More runs break off than the budget has retries for: some callers get an error in place of a stream, none is left in doubt."""
    with Fleet("--hosts", 2, "--engines", 2, "--services", 1) as fleet:
        first = fleet.hosts[0]
        for engine in fleet.endpoints("engine"):
            fleet.faults(engine["address"], slow=200)
        background = [in_background(fleet.chat, first, f"early {index}", "bulletin", True, 5) for index in range(12)]
        wait_until(lambda: sum(len(fleet.runs(engine)) for engine in fleet.endpoints("engine")) == 12, "twelve runs")
        for engine in fleet.endpoints("engine"):
            request(engine["address"], "POST", "/faults", body='{"crash": true}')
        answers = []
        for thread, results in background:
            thread.join()
            answers.append(results[0])
        assert all(ended_openly(answer) for answer in answers), [(answer.status, answer.body[-200:]) for answer in answers]
        assert any(answer.status != 200 for answer in answers)
        fleet.no_violations()


def test_engine_crash_mid_stream():
    with Fleet("--hosts", 2, "--engines", 2, "--services", 1) as fleet:
        first = fleet.hosts[0]
        background = [in_background(fleet.chat, first, f"crash {index}", "bulletin", True, 200) for index in range(6)]
        wait_until(lambda: sum(len(fleet.runs(engine)) for engine in fleet.endpoints("engine")) == 6, "six runs")
        # In the midst of the streams: a run that has sent no event yet may be tried again, or end with an error status.
        wait_until(lambda: fleet.metric(first, "yokepond_events_relayed_total") >= 60, "events of the streams")
        crashed = fleet.endpoints("engine")[0]
        request(crashed["address"], "POST", "/faults", body='{"crash": true}')
        for thread, results in background:
            thread.join()
            answer = results[0]
            assert answer.status == 200 and ended_openly(answer), (answer.status, answer.body[-300:])
        # Afterwards requests go to the other engine.
        for index in range(6):
            assert fleet.chat(first, f"after {index}").status == 200
        fleet.no_violations()


def test_dispatcher_lost():
    """The dispatcher of all shards is killed, paused, and cut off in one direction: requests at other hosts go on."""
    with Fleet("--hosts", 4, "--engines", 2, "--services", 1, "--proxy") as fleet:
        rows = fleet.query("show dispatchers where pool = drafting")["rows"]
        dispatcher = fleet.host(rows[0]["host"])
        others = [host for host in fleet.hosts if host is not dispatcher]
        fleet.signal(dispatcher, signal.SIGSTOP)
        background = [in_background(fleet.chat, others[index % 3], f"paused {index}", "draft") for index in range(12)]
        for thread, results in background:
            thread.join()
            assert results[0].status == 200, results[0].body
        fleet.see(dispatcher["name"], "dead", hosts=others)
        fleet.signal(dispatcher, signal.SIGCONT)
        fleet.see(dispatcher["name"], "alive")
        # Nothing reaches the dispatcher any more, though it reaches the others.
        fleet.break_route(f"peer-{dispatcher['name']}", blackhole_forward=True)
        background = [in_background(fleet.chat, others[index % 3], f"deaf {index}", "draft") for index in range(12)]
        for thread, results in background:
            thread.join()
            assert results[0].status == 200, results[0].body
        fleet.break_route(f"peer-{dispatcher['name']}", cut=True)
        fleet.see(dispatcher["name"], "alive", 20)
        fleet.kill(dispatcher)
        background = [in_background(fleet.chat, others[index % 3], f"killed {index}", "draft") for index in range(12)]
        for thread, results in background:
            thread.join()
            assert results[0].status == 200, results[0].body
        fleet.no_violations()


def test_leaving_endpoint():
    with Fleet("--hosts", 3, "--engines", 2, "--services", 1) as fleet:
        first = fleet.hosts[0]
        leaving, staying = fleet.endpoints("engine")
        listed = [{"name": leaving["name"], "address": leaving["address"], "role": "endpoint", "state": "leaving"}]
        request(fleet.data["platform"]["address"], "POST", "/hosts", body=json.dumps(listed))
        drained = lambda: fleet.query(f"show endpoints where name = {leaving['name']}")["rows"][0]["state"] == "drained"
        wait_until(drained, "the end of new work", 5)
        before = len(fleet.runs(leaving))
        for index in range(10):
            assert fleet.chat(first, f"leave {index}").status == 200
        assert len(fleet.runs(leaving)) == before
        assert fleet.command(f"drain endpoint {staying['name']}", Yokepond_Wait="yes").status == 200
        nowhere = fleet.chat(first, "nowhere", "bulletin", timeout=40)
        assert nowhere.outcome == "not-run", nowhere.body
        fleet.no_violations()


def test_configuration_never_reverts():
    with Fleet("--hosts", 3, "--engines", 1, "--services", 1, "--proxy") as fleet:
        first, second, third = fleet.hosts
        platform = fleet.data["platform"]["address"]
        revision = lambda host: fleet.dump(host)["revision"]
        # One host is cut off from the store: it follows through its peers.
        fleet.break_route("store-h3", refuse=True, cut=True)
        accepted = fleet.command("create tier one rank 50", first)
        assert accepted.status == 200
        wait_until(lambda: revision(third) == accepted.json()["revision"], "the change at the host without the store", 5)
        cut_off = fleet.command("create tier two rank 51", third)
        assert cut_off.status == 503 and cut_off.json()["error"]["type"] == "store-unavailable", cut_off.body
        fleet.break_route("store-h3")
        # An older table is restored: nothing reverts, and no change is accepted on top of it.
        now = revision(first)
        fleet.faults(platform, forget=True)
        refused = fleet.command("create tier three rank 52", second)
        assert refused.status == 503, refused.body
        assert [revision(host) for host in fleet.hosts] == [now] * 3
        # A host that starts while the store is away takes what its peers have.
        fleet.faults(platform, down=True)
        fleet.kill(third)
        fleet.restart(third)
        assert revision(third) == now
        fleet.no_violations()


def test_operators_race():
    """Operators race through different hosts while a third of the store's write answers are lost."""
    with Fleet("--hosts", 4, "--engines", 1, "--services", 1) as fleet:
        fleet.faults(fleet.data["platform"]["address"], lose_percent=33)
        accepted, rejected, other = [], [], []

        def operate(index):
            for step in range(6):
                host = fleet.hosts[(index + step) % 4]
                statement = f"create pool race-{step}" if index % 2 else f"create pool own-{index}-{step}"
                answer = fleet.command(statement, host, Yokepond_Reason=f"{index}/{step}")
                kind = accepted if answer.status == 200 else rejected if answer.status == 409 else other
                kind.append((f"{index}/{step}", answer.body))

        threads = [in_background(operate, index)[0] for index in range(8)]
        for thread in threads:
            thread.join()
        fleet.faults(fleet.data["platform"]["address"], lose_percent=0)
        assert not other, other
        last = max(json.loads(body)["revision"] for _, body in accepted)
        wait_until(lambda: all(fleet.dump(host)["revision"] == last for host in fleet.hosts), "one revision everywhere")
        reasons = [[row["reason"] for row in fleet.query("show changes order by revision", host)["rows"]] for host in fleet.hosts]
        for seen in reasons:
            assert seen == reasons[0]
            assert sorted(entry for entry in seen if "/" in entry) == sorted(name for name, _ in accepted)
        pools = [row["name"] for row in fleet.query("show pools")["rows"]]
        assert all(pools.count(f"race-{step}") == 1 for step in range(6)), pools
        fleet.no_violations()


if __name__ == "__main__":
    run_tests(globals())
