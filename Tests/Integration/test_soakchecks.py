# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Each check of soakchecks.py reports the violation that it is written for, and nothing on a record without one."""

from fleet import run_tests
from soakchecks import AcceptedConfiguration, CallerRequest, Disturbance, PartHistory, Record, Run, find_violations
from streamcaller import Stream

FIRST = AcceptedConfiguration(0.0, frozenset({"k1"}), frozenset({"/once/"}))
SECOND = AcceptedConfiguration(20.0, frozenset({"k1", "k2"}), frozenset({"/once/", "/stream/"}))


def caller_request(name, sent=10.0, status=200, **more):
    entry = CallerRequest(name, "/once/x", "k1", 0, 0, sent, sent + 0.1, status, name, "signed-by-e1", b"body")
    for field, value in more.items():
        setattr(entry, field, value)
    return entry


def record_of(requests, runs=None, **more):
    if runs is None:
        runs = [Run(entry.name, "e1", entry.sent + 0.05) for entry in requests if entry.status == 200]
    fields = {"configurations": [FIRST, SECOND], "leaving": {}, "disturbances": [], "stops": []}
    return Record(requests, runs, **{**fields, **more})


def assert_only_violation(name, record):
    assert list(find_violations(record)) == [name], (name, find_violations(record))


def test_record_without_violations():
    assert not find_violations(record_of([caller_request("a"), caller_request("b", 30.0, key="k2"), caller_request("c", status=503)]))


def test_wrong_responses():
    assert_only_violation("wrong_responses", record_of([caller_request("a", response_name="b")]))
    assert_only_violation("wrong_responses", record_of([caller_request("a", complete=False)]))
    assert_only_violation("wrong_responses", record_of([caller_request("a")], runs=[]))


def test_duplicate_and_unrequested_runs():
    assert_only_violation("duplicate_runs", record_of([caller_request("a")], [Run("a", "e1", 10.0), Run("a", "e2", 10.1)]))
    assert_only_violation("duplicate_runs", record_of([caller_request("a", path="/extra/x", status=502)], [Run("a", "e1", 10.0), Run("a", "e2", 10.1)]))
    assert_only_violation("unrequested_runs", record_of([caller_request("a")], [Run("a", "e1", 10.0), Run("z", "e1", 10.0)]))


def test_run_after_not_run_status():
    assert_only_violation("false_not_run", record_of([caller_request("a", status=503)], [Run("a", "e1", 12.0)]))
    assert_only_violation("false_not_run", record_of([caller_request("a", path="/extra/x", status=503)], [Run("a", "e1", 12.0)]))


def test_stale_configuration():
    assert_only_violation("stale_configuration", record_of([caller_request("a", 25.0, 401, key="k2")]))
    assert not find_violations(record_of([caller_request("a", 21.0, 401, key="k2")]))
    assert not find_violations(record_of([caller_request("a", 25.0, 401, key="k2")], disturbances=[Disturbance(23.0, 24.0, 0)]))
    revoked = [SECOND, AcceptedConfiguration(30.0, frozenset({"k1"}), SECOND.paths)]
    assert_only_violation("stale_configuration", record_of([caller_request("a", 35.0, key="k2")], configurations=revoked))


def test_reverted_configuration():
    requests = [caller_request("a", 20.5, key="k2"), caller_request("b", 21.5, 401, key="k2")]
    assert_only_violation("reverted_configuration", record_of(requests))
    requests[1].incarnation = 1
    assert not find_violations(record_of(requests))


def test_runs_at_leaving_endpoints():
    assert_only_violation("runs_at_leaving_endpoints", record_of([caller_request("a", 15.0)], leaving={"e1": 11.0}))
    assert not find_violations(record_of([caller_request("a", 13.0)], leaving={"e1": 11.0}))


def test_requests_cut_by_stops():
    requests = [caller_request("a", 10.0, 0)]
    assert_only_violation("requests_cut_by_stops", record_of(requests, [Run("a", "e1", 10.05)], stops=[(0, 0, 10.02, 14.0)]))
    assert not find_violations(record_of(requests, [Run("a", "e1", 10.05)], stops=[(1, 0, 10.02, 14.0)]))
    crashed = {"stops": [(0, 0, 10.02, 14.0)], "crashes": {"e1": 10.08}}
    assert not find_violations(record_of(requests, [Run("a", "e1", 10.05)], **crashed))
    went_on = [caller_request("a", 10.0, 0, path="/stream/x")]
    assert_only_violation("requests_cut_by_stops", record_of(went_on, [Run("a", "e1", 10.05), Run("a", "e2", 10.09)], **crashed))


def test_unserved_paths():
    assert_only_violation("unserved_paths", record_of([caller_request(f"a{count}", status=503) for count in range(30)]))


def test_streams():
    def stream(*events):
        return Stream("s", list(events))

    assert not find_violations(record_of([], streams=[stream((1, "v1"), (2, "v1")), stream((1, "v2")), stream()]))
    assert_only_violation("streams_of_two_versions", record_of([], streams=[stream((1, "v1"), (2, "v2"))]))
    assert_only_violation("streams_out_of_order", record_of([], streams=[stream((1, "v1"), (3, "v1"))]))
    assert_only_violation("streams_out_of_order", record_of([], streams=[stream((1, "v1"), (1, "v1"))]))


def test_parts_that_crash_engines():
    requests = [caller_request(f"p{number}", 20.0 + number, 502, path="/stream/x") for number in range(4)]
    arrivals = [(entry.name, entry.sent + 0.1) for entry in requests]
    history = PartHistory("bad", [10.0, 10.5, 11.0, 11.5, 12.0], arrivals)
    runs = [Run(name, "e1", at) for name, at in arrivals]
    assert_only_violation("parts_that_crash_engines", record_of(requests, runs, parts=[history]))
    assert not find_violations(record_of(requests[:3], runs[:3], parts=[PartHistory("bad", history.crashes, arrivals[:3])]))
    assert not find_violations(record_of(requests, runs, parts=[PartHistory("bad", history.crashes[:4], arrivals)]))
    assert not find_violations(record_of(requests, runs, parts=[history], disturbances=[Disturbance(18.0, 24.0, 0)]))


if __name__ == "__main__":
    run_tests(globals())
