# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Each check of the soak reports the fault that it is there for, and nothing on a record without one."""

from fleet import run_tests
from soakchecks import Accepted, Record, Run, Trouble, Try, broken

FIRST = Accepted(0.0, frozenset({"k1"}), frozenset({"/once/"}))
SECOND = Accepted(20.0, frozenset({"k1", "k2"}), frozenset({"/once/", "/stream/"}))


def answered(name, sent=10.0, status=200, **more):
    entry = Try(name, "/once/x", "k1", 0, 0, sent, sent + 0.1, status, name, "signed-by-e1", b"body")
    for field, value in more.items():
        setattr(entry, field, value)
    return entry


def record_of(tries, runs=None, **more):
    if runs is None:
        runs = [Run(entry.name, "e1", entry.sent + 0.05) for entry in tries if entry.status == 200]
    fields = {"configurations": [FIRST, SECOND], "leaving": {}, "troubles": [], "stops": []}
    return Record(tries, runs, **{**fields, **more})


def reports(name, record):
    assert list(broken(record)) == [name], (name, broken(record))


def test_nothing_is_reported_on_a_good_record():
    assert not broken(record_of([answered("a"), answered("b", 30.0, key="k2"), answered("c", status=503)]))


def test_an_answer_that_is_another_s_or_not_whole_or_of_nobody():
    reports("wrong_answers", record_of([answered("a", answered_name="b")]))
    reports("wrong_answers", record_of([answered("a", whole=False)]))
    reports("wrong_answers", record_of([answered("a")], runs=[]))


def test_a_run_too_many():
    reports("doubled_runs", record_of([answered("a")], [Run("a", "e1", 10.0), Run("a", "e2", 10.1)]))
    reports("doubled_runs", record_of([answered("a", path="/extra/x", status=502)], [Run("a", "e1", 10.0), Run("a", "e2", 10.1)]))
    reports("unasked_runs", record_of([answered("a")], [Run("a", "e1", 10.0), Run("z", "e1", 10.0)]))


def test_what_was_said_not_to_have_run_ran():
    reports("false_not_run", record_of([answered("a", status=503)], [Run("a", "e1", 12.0)]))
    reports("false_not_run", record_of([answered("a", path="/extra/x", status=503)], [Run("a", "e1", 12.0)]))


def test_an_older_configuration():
    reports("stale_configuration", record_of([answered("a", 25.0, 401, key="k2")]))
    assert not broken(record_of([answered("a", 21.0, 401, key="k2")]))
    assert not broken(record_of([answered("a", 25.0, 401, key="k2")], troubles=[Trouble(23.0, 24.0, 0)]))
    revoked = [SECOND, Accepted(30.0, frozenset({"k1"}), SECOND.paths)]
    reports("stale_configuration", record_of([answered("a", 35.0, key="k2")], configurations=revoked))


def test_going_back():
    tries = [answered("a", 20.5, key="k2"), answered("b", 21.5, 401, key="k2")]
    reports("reverted_configuration", record_of(tries))
    tries[1].life = 1
    assert not broken(record_of(tries))


def test_work_for_an_endpoint_that_leaves():
    reports("runs_at_leaving", record_of([answered("a", 15.0)], leaving={"e1": 11.0}))
    assert not broken(record_of([answered("a", 13.0)], leaving={"e1": 11.0}))


def test_a_stop_that_cuts():
    tries = [answered("a", 10.0, 0)]
    reports("cut_by_stops", record_of(tries, [Run("a", "e1", 10.05)], stops=[(0, 0, 10.02, 14.0)]))
    assert not broken(record_of(tries, [Run("a", "e1", 10.05)], stops=[(1, 0, 10.02, 14.0)]))


def test_a_kind_of_request_that_is_never_served():
    reports("unserved_classes", record_of([answered(f"a{count}", status=503) for count in range(30)]))


if __name__ == "__main__":
    run_tests(globals())
