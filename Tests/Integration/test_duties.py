# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Duties, each held by one host at a time: usage is reported completely and once, and endpoints are ordered, although the holder is
killed and the store and the receiver of the duty calls have outages."""

import copy
import hashlib
import json

from fleet import parse_options, request, run_tests, wait_until
from recordsplatform import CONFIGURATION, DutyReceiver, Endpoint, Hosts, Store

HOSTS = 3
OPERATOR_KEY = "operator-key-for-tests"


def scaled_configuration():
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["services"][0]["scaling"] = {"min_count": 1, "max_count": 9, "boot_s": 0.5, "spot_price": 0.2,
                                               "zone_prices": {"a": 1.0, "b": 1.1}}
    return configuration


def stream(hosts, index, names):
    """Repeats each named stream until it succeeds, because changes reach the hosts at different times."""
    for name in names:
        responses = []

        def succeeds():
            responses.append(hosts.send(index, "POST", "/stream/x", f"{name}-{len(responses)}"))
            return responses[-1].status == 200

        wait_until(succeeds, f"stream {name} to be served")


def duty_rows(hosts):
    """Returns the rows of `show duties`, which has a row for each host and duty."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    return json.loads(request(hosts.operators[0], "POST", "/query", headers, "show duties").body)["rows"]


def holder_index(duties):
    return int(duties.holders[-1][1:])


def test_duties():
    store = Store()
    duties = DutyReceiver()
    model = Endpoint("i-m1")
    settings = f"[usage]\naddress = {duties.address}\nwindow-s = 1\nquiet-ms = 2000\n[scaling]\nmode = on\n" \
               f"[operator desk]\nkey-sha256 = {hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()}\n"
    hosts = Hosts(parse_options().bin, [store.address] * HOSTS, settings)
    try:
        store.put("op", "config", scaled_configuration())
        store.put("servers", model.name, model.row("model"))
        hosts.wait_ready()
        wait_until(lambda: duties.reports, "the first window to be reported")
        check_orders(duties)
        check_counts(hosts, duties)
        check_one_holder(hosts)
        check_killed_holder(hosts, duties)
        check_outages(hosts, duties, store)
        assert not duties.violations, duties.violations
        for index in range(HOSTS):
            assert all(entry["event"] != "duty-row-unreadable" for entry in hosts.log(index))
    finally:
        store.closing.set()
        for process in hosts.processes:
            process.kill()


def check_orders(duties):
    """Each data centre gets an order for one preemptible endpoint, so that one of two can be lost."""
    wait_until(lambda: len(duties.orders) >= 2, "orders")
    ordered = {(order["zone"], order.get("preemptible", False)): order["desired_count"] for order in duties.orders}
    assert ordered == {("a", True): 1, ("b", True): 1}, ordered
    assert all(order["service"] == "model" for order in duties.orders)


def check_counts(hosts, duties):
    for index in range(HOSTS):
        stream(hosts, index, [f"count-{index}-{number}" for number in range(10)])
    wait_until(lambda: duties.total("town") >= 30, "thirty streams to be reported")
    assert duties.total("town") == 30, duties.reports


def check_one_holder(hosts):
    for duty in ("usage", "scaling"):
        rows = [row for row in duty_rows(hosts) if row["duty"] == duty]
        assert len(rows) == HOSTS and sum(row["holds"] for row in rows) == 1, rows


def check_killed_holder(hosts, duties):
    """The successor of a killed holder, which may be the same host restarted, reports what the other hosts counted."""
    before = duties.total("town")
    holder = holder_index(duties)
    hosts.processes[holder].kill()
    hosts.processes[holder].wait()
    other = (holder + 1) % HOSTS
    stream(hosts, other, [f"kill-{number}" for number in range(10)])
    hosts.start(holder)
    wait_until(lambda: duties.total("town") >= before + 10, "the successor to report")
    assert duties.total("town") == before + 10, duties.reports


def check_outages(hosts, duties, store):
    before = duties.total("town")
    windows = len(duties.reports)
    store.down = True
    stream(hosts, 0, [f"outage-{number}" for number in range(5)])
    store.down = False
    duties.down = True
    wait_until(lambda: any(entry["event"] == "usage-report-failed" for index in range(HOSTS) for entry in hosts.log(index)),
               "a report to fail")
    duties.down = False
    wait_until(lambda: duties.total("town") >= before + 5, "the usage during the outage to be reported")
    assert duties.total("town") == before + 5, duties.reports
    wait_until(lambda: len(duties.reports) > windows + 3, "windows to be reported again")


if __name__ == "__main__":
    run_tests(globals())
