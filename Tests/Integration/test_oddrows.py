# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Rows that another writer left in the platform's store, and that no record can be made of.

Guards against one odd row that stops all hosts from following the list: endpoints that came later got nothing, at any host. See
docs/incidents/odd-rows-of-the-store.md.
"""

import base64
import copy
import itertools
import json
import time

from fleet import parse_options, request, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store

COUNT = 3
# A host that follows uses a new endpoint within two seconds; one that does not, never. The rest is for a busy machine.
FOLLOWED_WITHIN_SECONDS = 5.0
SERVES_AFTER_RESTART_SECONDS = 12


def raw(key=b'"i-odd"', value=None, version=b"VERSION", more=b""):
    """Returns a row of endpoints as JSON, with the fields as given."""
    value = endpoint_value() if value is None else value
    return b'{"table":"servers","part":"","key_file":' + key + b',"value":' + value + b',"schema_version":' + version + more + b"}"


def encoded(value):
    return b'"' + base64.b64encode(value) + b'"'


def endpoint_value(more=b"", port=b"9", slots=b"4"):
    return encoded(b'{"service":"spare","address":"127.0.0.1:' + port + b'","zone":"a","slots":' + slots + b',"state":"ready"' + more + b"}")


ODD_ENDPOINT_ROWS = {
    "the value is a number": raw(value=b"7"),
    "the value is a list": raw(value=b"[1,2]"),
    "the value is null": raw(value=b"null"),
    "there is no value": b'{"table":"servers","part":"","key_file":"i-odd","schema_version":VERSION}',
    "the value is not base64": raw(value=b'"%%%"'),
    "the value is empty": raw(value=b'""'),
    "the value has broken UTF-8": raw(value=endpoint_value(b',"x":"\xff\xfe"')),
    "the value has NUL bytes": raw(value=encoded(b"\0\0\0")),
    "the value has a number too large": raw(value=endpoint_value(b',"x":1e999')),
    "a port out of range": raw(value=endpoint_value(port=b"70000")),
    "slots out of range": raw(value=endpoint_value(slots=b"1e300")),
    "born out of range": raw(value=endpoint_value(b',"born":-1e300')),
    "a cold time out of range": raw(value=endpoint_value(b',"state":"odd","cold_remaining_ms":1e300')),
    "the key is a number": raw(key=b"5"),
    "the key is null": raw(key=b"null"),
    "there is no key": b'{"table":"servers","part":"","value":"","schema_version":VERSION}',
    "the key is empty": raw(key=b'""'),
    "the key has broken UTF-8": raw(key=b'"\xff\xfe"'),
    "the key has control characters": raw(key=b'"i-odd\\u0000\\u000a"'),
    "the key has spaces and signs": raw(key=b'"a b/c%41&d#e?f"'),
    "the mark of removal is a text": raw(more=b',"deleted":"yes"'),
    "the mark of removal is a number": raw(more=b',"deleted":1'),
    "the row is a list": b"[1,2]",
    "the row is null": b"null",
    "the row is a text": b'"row"',
    "there is no version": raw().replace(b',"schema_version":VERSION', b""),
    "the version is a text": raw(version=b'"x"'),
    "the version is negative": raw(version=b"-1"),
    "the version is a fraction": raw(version=b"1.5"),
    "the version is 1e300": raw(version=b"1e300"),
    "the version is too large for JSON": raw(version=b"1e999"),
    "the version is beyond all others": raw(version=b"18446744073709551615"),
    "another field has a number too large": raw(more=b',"x":1e999'),
    "another field is nested deeply": raw(more=b',"x":' + b"[" * 20000 + b"]" * 20000),
}

ODD_CONFIGURATIONS = {
    "the configuration is a number": b"7",
    "the configuration is not JSON": encoded(b"not JSON"),
    "the configuration has no routes": encoded(b'{"version":9}'),
    "a route of the configuration has no service": encoded(b'{"version":9,"services":[],"routes":[{"name":"r"}]}'),
    "the configuration is empty": b'""',
}

ODD_OPERATOR_ROWS = {
    "a key that nobody knows": b'{"table":"op","part":"","key_file":"other","value":7,"schema_version":VERSION}',
    "a key that is a number": b'{"table":"op","part":"","key_file":7,"value":7,"schema_version":VERSION}',
    "an evacuation of a data centre that is not there": b'{"table":"op","part":"","key_file":"evacuate/odd","value":7,"schema_version":VERSION}',
}


class Site:
    """Three hosts, with one endpoint that streams; endpoints of the pool `app` come and go."""

    def __init__(self, settings=""):
        self.settings = settings

    def __enter__(self):
        self.store = Store()
        self.model = Endpoint("i-m1")
        self.names = itertools.count(1)
        self.requests = itertools.count(1)
        self.current = None
        self.store.put("op", "config", CONFIGURATION)
        self.store.put("servers", self.model.name, self.model.row("model"))
        self.hosts = Hosts(parse_options().bin, [self.store.address] * COUNT, self.settings)
        self.hosts.wait_ready()
        self.replace_endpoint()
        self.wait_served(10)
        return self

    def __exit__(self, *_):
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def replace_endpoint(self):
        """Adds an endpoint under a new name and removes the one before, so that only hosts that follow the list are served."""
        before = self.current
        self.current = Endpoint(f"i-good-{next(self.names)}")
        self.store.put("servers", self.current.name, self.current.row("app"))
        if before:
            self.store.remove("servers", before.name)

    def send(self, index, key="good-key"):
        return self.hosts.send(index, "POST", "/once/x", f"odd-{next(self.requests)}", key=key)

    def served(self, index):
        """Whether the newest endpoint runs a request of host @p index."""
        runs = len(self.current.runs)
        return self.send(index).status == 200 and len(self.current.runs) == runs + 1

    def unserved(self, seconds):
        """Returns the hosts that the newest endpoint does not serve within @p seconds."""
        until = time.monotonic() + seconds
        missing = set(range(COUNT))
        while missing:
            missing -= {index for index in missing if self.served(index)}
            if time.monotonic() > until:
                break
        return sorted(missing)

    def wait_served(self, seconds):
        missing = self.unserved(seconds)
        assert not missing, f"hosts {missing} do not use {self.current.name}"

    def unconfigured(self, seconds):
        """Adds a key to the configuration; returns the hosts that do not accept it within @p seconds."""
        changed = copy.deepcopy(CONFIGURATION)
        changed["tenants"][0]["api_keys"].append(f"key-{next(self.requests)}")
        self.store.put("op", "config", changed)
        until = time.monotonic() + seconds
        missing = set(range(COUNT))
        while missing and time.monotonic() < until:
            missing -= {index for index in missing if self.send(index, changed["tenants"][0]["api_keys"][-1]).status == 200}
        return sorted(missing)

    def ended(self):
        return [index for index, process in enumerate(self.hosts.processes) if process.poll() is not None]

    def restart(self, index):
        """Kills and starts a host; returns the seconds until it serves, or None."""
        self.hosts.processes[index].kill()
        self.hosts.processes[index].wait()
        self.hosts.start(index)
        began = time.monotonic()
        while time.monotonic() - began < SERVES_AFTER_RESTART_SECONDS:
            if self.hosts.ready(index) and self.served(index):
                return time.monotonic() - began
            time.sleep(0.1)
        return None

    def events(self, index, name):
        return [entry for entry in self.hosts.log(index) if entry["event"] == name]

    def metric(self, index, name):
        text = request(self.hosts.operators[index], "GET", "/metrics").body
        return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith(name + "{"))


def leave_and_judge(site, table, key, text):
    """Leaves a row and adds an endpoint 1 s later; returns what is wrong with that."""
    site.store.put_raw(table, key, text)
    time.sleep(1)
    site.replace_endpoint()
    unserved = site.unserved(FOLLOWED_WITHIN_SECONDS)
    if table == "op" and key != "config":
        unserved += site.unconfigured(FOLLOWED_WITHIN_SECONDS)
    return ([f"hosts {unserved} do not follow"] if unserved else []) + ([f"hosts {site.ended()} ended"] if site.ended() else [])


def judge_all(table, rows):
    """Judges each row by itself, then a restart beside all of them."""
    wrong = {}
    with Site() as site:
        for number, (name, text) in enumerate(rows.items()):
            key = f"odd-{number}"
            found = leave_and_judge(site, table, key, text)
            with site.store.lock:
                site.store.rows.pop((table, key))
            site.store.remove(table, "i-odd" if table == "servers" else "odd")
            site.replace_endpoint()
            unserved = site.unserved(FOLLOWED_WITHIN_SECONDS)
            found += [f"hosts {unserved} do not follow after its removal"] if unserved else []
            if found:
                wrong[name] = found
        for number, text in enumerate(rows.values()):
            site.store.put_raw(table, f"odd-{number}", text)
        time.sleep(1)
        for index in range(COUNT):
            if site.restart(index) is None:
                wrong[f"all, after a restart of host {index}"] = "does not serve"
        if not wrong:
            codes = site.hosts.stop()
            assert codes == [0] * COUNT, codes
    assert not wrong, "\n" + "\n".join(f"  {name}: {found}" for name, found in wrong.items())


def test_odd_rows_of_endpoints():
    judge_all("servers", ODD_ENDPOINT_ROWS)


def test_odd_rows_of_operators():
    judge_all("op", ODD_OPERATOR_ROWS)


def test_odd_configuration_leaves_the_last_good_one_in_force():
    """Endpoints are followed beside it, a restarted host gets the last good one from the others, and a newer good one is followed."""
    with Site() as site:
        for number, (name, value) in enumerate(ODD_CONFIGURATIONS.items()):
            row = b'{"table":"op","part":"","key_file":"config","value":' + value + b',"schema_version":VERSION}'
            found = leave_and_judge(site, "op", "config", row)
            assert not found, (name, found)
            seconds = site.restart(number % COUNT)
            assert seconds is not None, f"{name}: host {number % COUNT} does not serve after a restart"
            changed = copy.deepcopy(CONFIGURATION)
            changed["tenants"][0]["api_keys"].append(f"key-{number}")
            site.store.put("op", "config", changed)
            for index in range(COUNT):
                wait_until(lambda index=index, number=number: site.send(index, f"key-{number}").status == 200,
                           f"host {index} to follow the configuration after: {name}", 5)


def odd_value(sequence):
    return b'{"service":"app","address":"127.0.0.1:9","slots":4,"state":"ready","x":1e999,"sequence":%d}' % sequence


def test_heartbeats_of_an_odd_entry_are_no_changes():
    """An entry that cannot be used is logged once at each host and counted; its heartbeats are neither sent on nor applied."""
    with Site() as site:
        site.store.put_bytes("servers", "i-odd", odd_value(0))
        wait_until(lambda: all(site.events(index, "record-rejected") for index in range(COUNT)), "all hosts to log the entry")
        names = ("configuration-applied", "changes-sent", "changes-received", "record-rejected")

        def count_events():
            return {(index, name): len(site.events(index, name)) for index in range(COUNT) for name in names}

        def is_quiet():
            counted = count_events()
            time.sleep(1.5)  # longer than the period at which hosts that have just started ask each other for their lists
            return count_events() == counted

        wait_until(is_quiet, "hosts that have just started to have each other's lists", 15)
        before = count_events()
        for sequence in range(1, 13):
            site.store.put_bytes("servers", "i-odd", odd_value(sequence))
            time.sleep(0.3)
        time.sleep(1)
        grown = {what: len(site.events(*what)) - count for what, count in before.items() if len(site.events(*what)) > count}
        assert not grown, grown
        for index in range(COUNT):
            told = site.events(index, "record-rejected")
            assert len(told) == 1 and told[0]["key"] == "i-odd" and told[0]["reason"], told
            assert site.metric(index, "yokepond_unusable_records") == 1
        assert sum(site.metric(index, "yokepond_odd_rows_total") for index in range(COUNT)) >= 1
        site.store.remove("servers", "i-odd")
        wait_until(lambda: all(site.metric(index, "yokepond_unusable_records") == 0 for index in range(COUNT)), "no unusable entry", 5)


def test_an_entry_that_turns_odd_gets_nothing_until_it_is_good_again():
    with Site() as site:
        good = json.dumps(site.current.row("app")).encode()
        odd = {"value": encoded(good[:-1] + b',"x":1e999}')}, {"value": b"7"}, {"version": b'"x"'}, {"more": b',"deleted":"yes"'}
        for fields in odd:
            text = raw(**{"key": b'"' + site.current.name.encode() + b'"', "value": encoded(good), **fields})
            site.store.put_raw("servers", site.current.name, text)
            deadline = time.monotonic() + FOLLOWED_WITHIN_SECONDS
            while time.monotonic() < deadline and any(site.send(index).status == 200 for index in range(COUNT)):
                time.sleep(0.05)
            runs = len(site.current.runs)
            refused = [site.send(index).status for index in range(COUNT)]
            assert refused == [503] * COUNT and len(site.current.runs) == runs, (text, refused)
            site.store.put("servers", site.current.name, site.current.row("app"))
            site.wait_served(FOLLOWED_WITHIN_SECONDS)


ODD_KEYS = ["a b", "a&b=c", "a#b", "a%41b", "a+b", "a/../b", "a?b", "\u00e9\u20ac", "z\"z", "z\\z"]


def test_lists_of_several_pages():
    """A list is read in pages whatever the keys at their ends, also where rows of a page make no record."""
    with Site() as site:
        for key in ODD_KEYS:
            site.store.put("servers", key, {**site.current.row("model"), "state": "draining"})
            site.store.put("op", key, {})
            site.store.put("op", f"evacuate/{key}", {})
        for page_rows in (2, 3):
            site.store.page_rows = page_rows
            for index in range(COUNT):
                assert site.restart(index) is not None, (page_rows, index)
            site.replace_endpoint()
            site.wait_served(FOLLOWED_WITHIN_SECONDS)


def test_answers_that_cannot_be_used_are_asked_for_again_with_a_delay():
    """An answer of the store without a version, or whose pages do not go on, is not used, told, and not asked for in a busy loop."""
    odd = {
        "version": lambda path, fields: fields.update({"schema_version": b'"x"'}),
        "has_more": lambda path, fields: "has_more" in fields and fields.update({"has_more": b'"yes"'}),
        "no progress": lambda path, fields: "has_more" in fields and fields.update({"has_more": b"true"}),
        "no rows": lambda path, fields: fields.update({"rows": b"7"}),
        "too large": lambda path, fields: fields.update({"schema_version": b"1e999"}),
    }
    for name, change in odd.items():
        with Site() as site:
            calls = itertools.count(0)
            site.store.answer_as = lambda path, fields, change=change, calls=calls: (next(calls), change(path, fields))
            site.store.compact_history()  # The hosts read the whole list again.
            time.sleep(3)
            count = next(calls)
            # Both kinds of rows at each host, after the first failures at most once in half a second.
            assert count <= COUNT * 2 * 12, (name, count)
            assert all(site.events(index, "store-lost") for index in range(COUNT)), name
            assert not site.ended(), name
            site.store.answer_as = None
            site.replace_endpoint()
            site.wait_served(4)


def test_a_key_that_a_header_cannot_carry_gets_nothing():
    """Guards against fields that another writer's key adds to requests: the key of an entry is sent in a header."""
    with Site() as site:
        victim = Endpoint("i-victim")
        for key in ("i-victim\r\nX-Tenant-Id: another", "i-victim\nX-Added: 1", "i-victim\r\n\r\nGET /x HTTP/1.1"):
            site.store.put("servers", key, victim.row("app"))
            time.sleep(1)
            assert {site.send(number % COUNT).status for number in range(12)} == {200}, key
            assert not victim.runs, (key, victim.runs)
            site.store.remove("servers", key)


if __name__ == "__main__":
    run_tests(globals())
