# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Hosts that get deeply nested JSON from others."""

import base64
import copy
import json

from fleet import Fleet, parse_options, request, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store, send as send_response

DEPTH = 100_000
ARRAYS = "[" * DEPTH + "]" * DEPTH
OBJECTS = '{"":' * DEPTH + "1" + "}" * DEPTH
STORED_DEPTH = 150_000
STORED_ARRAYS = "[" * STORED_DEPTH + "]" * STORED_DEPTH
STORED_OBJECTS = '{"":' * STORED_DEPTH + "1" + "}" * STORED_DEPTH
MESSAGE = '{"role": "user", "content": %s}'
CHAT = '{"messages": [%s], "max_tokens": 3, "metadata": %s}'
BODIES = {
    "a field that nobody reads": CHAT % (MESSAGE % '"x"', ARRAYS),
    "objects": CHAT % (MESSAGE % '"x"', OBJECTS),
    "the text of a message": CHAT % (MESSAGE % ARRAYS, "{}"),
    "a member of a message": CHAT % ('{"role": "user", "content": "x", "extra": %s}' % ARRAYS, "{}"),
    "brackets that are not closed": CHAT % (MESSAGE % '"x"', "[" * DEPTH),
    "the whole body": ARRAYS,
}


def send(fleet, host, path, body, class_name=None):
    return request(host["caller"], "POST", path, fleet.caller_headers(class_name), body)


def generated_tokens(fleet):
    return sum(request(engine["address"], "GET", "/counts").json()["tokens"] for engine in fleet.endpoints("engine"))


# Guards against a request that ends its host by the depth of its body (SIGSEGV), and with it the requests of all other callers.
def test_a_callers_nested_body_is_refused():
    with Fleet("--hosts", 1, "--engines", 1) as fleet:
        host = fleet.hosts[0]
        for name, body in BODIES.items():
            before = generated_tokens(fleet)
            response = send(fleet, host, "/v1/chat/completions", body)
            assert response.status == 400 and response.error == "invalid-request", (name, response.status, response.body[:300])
            assert response.outcome == "not-run", (name, response.headers)
            message = response.json()["error"]["message"]
            assert "levels deep, at byte" in message and len(message) < 200, (name, message)
            assert generated_tokens(fleet) == before, name
            assert fleet.chat(host, "still served").status == 200, name
        response = send(fleet, host, "/v1/completions", '{"prompt": "x", "metadata": %s}' % ARRAYS)
        assert response.status == 400, response.status
        fleet.assert_no_violations()


# Guards against a bound that refuses what no host decodes: bodies for services are passed on as they come.
def test_a_nested_body_for_a_service_is_passed_on():
    with Fleet("--hosts", 1, "--engines", 1) as fleet:
        host = fleet.hosts[0]
        for name, body in BODIES.items():
            response = fleet.operation(host, fleet.ticket(host), body)
            assert response.status == 200 and response.outcome == "completed", (name, response.status, response.body[:300])
        assert sum(fleet.run_counts().values()) == len(BODIES), fleet.run_counts()


def put_text(store, table, key, text):
    """Writes a row whose value is @p text as it is."""
    with store.lock:
        store.version += 1
        value = base64.b64encode(text.encode()).decode()
        store.rows[(table, key)] = {"table": table, "part": "", "key_file": key, "value": value, "schema_version": store.version}
        store.lock.notify_all()


def with_extra(row, value):
    """Returns @p row as JSON with a member that nobody reads."""
    return json.dumps(row)[:-1] + ', "extra": %s}' % value


class NestingStore(Store):
    """A store whose responses have a member `extra` with the JSON text `extra`, if that is set."""

    def __init__(self):
        self.extra = ""
        super().__init__()

    def send_json(self, handler, body):
        if not self.extra:
            super().send_json(handler, body)
            return
        body.update({"schema_version": self.version, "now_ms": 0})
        send_response(handler, 200, {"Content-Type": "application/json"}, with_extra(body, self.extra).encode())


class Site:
    """Three hosts before a store with the configuration and one endpoint of each service."""

    def __enter__(self):
        self.store = NestingStore()
        self.store.put("op", "config", CONFIGURATION)
        self.endpoints = [Endpoint("i-model"), Endpoint("i-app")]
        for endpoint, service in zip(self.endpoints, ("model", "app")):
            self.store.put("servers", endpoint.name, endpoint.row(service))
        self.hosts = Hosts(parse_options().bin, [self.store.address] * 3)
        self.hosts.wait_ready()
        return self

    def __exit__(self, *_):
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def assert_running(self, what):
        codes = [process.poll() for process in self.hosts.processes]
        assert codes == [None] * 3, f"{what}: hosts ended with {codes}"

    def wait_until_told(self, what, is_told):
        """Waits until each host's log has an entry for which @p is_told returns true."""
        def told():
            self.assert_running(what)
            return all(any(is_told(entry) for entry in self.hosts.log(index)) for index in range(3))
        wait_until(told, f"all hosts to log {what}")

    def check_new_endpoint(self, name, what):
        """All hosts use an endpoint whose entry comes now: it is the only one for its service that runs requests."""
        self.endpoints[1].reject = True
        endpoint = Endpoint(name)
        self.store.put("servers", endpoint.name, endpoint.row("app"))
        for index in range(3):
            sent = []

            def is_served(index=index, sent=sent):
                self.assert_running(what)
                sent.append(self.hosts.send(index, "POST", "/once/x", f"{name}-{index}-{len(sent)}"))
                return sent[-1].status == 200
            wait_until(is_served, f"{what}: host {index} to use the endpoint {name}")
        self.store.put("servers", endpoint.name, endpoint.row("app", "draining"))
        self.endpoints[1].reject = False


# Guards against an endpoint's entry that ends every host by its depth (SIGSEGV), and each host that starts again.
def test_a_nested_entry_of_an_endpoint_is_skipped():
    with Site() as site:
        for number, (name, value) in enumerate({"arrays": STORED_ARRAYS, "objects": STORED_OBJECTS}.items()):
            put_text(site.store, "servers", f"i-odd-{number}", with_extra(Endpoint("i-odd").row("app"), value))
            site.wait_until_told(f"the entry with {name}", lambda entry, number=number: entry["event"] == "record-rejected"
                                 and entry["endpoint"] == f"i-odd-{number}" and "levels deep, at byte" in entry["reason"])
            site.check_new_endpoint(f"i-new-{number}", name)
        site.hosts.processes[0].terminate()
        assert site.hosts.processes[0].wait(timeout=20) == 0
        site.hosts.start(0)
        site.hosts.wait_ready()
        site.check_new_endpoint("i-last", "a host that starts beside the entries")
        assert site.hosts.stop() == [0, 0, 0]


# Guards against a configuration beyond the bound that is taken, or that hosts follow nothing after.
def test_a_nested_configuration_is_ignored():
    with Site() as site:
        put_text(site.store, "op", "config", with_extra(CONFIGURATION, STORED_ARRAYS))
        site.wait_until_told("the configuration", lambda entry: entry["event"] == "configuration-ignored"
                             and "levels deep, at byte" in entry["reason"])
        for index in range(3):
            assert site.hosts.send(index, "POST", "/once/x", f"former-{index}").status == 200, index
        changed = copy.deepcopy(CONFIGURATION)
        changed["tenants"][0]["api_keys"].append("new-key")
        site.store.put("op", "config", changed)
        for index in range(3):
            sent = []

            def is_in_force(index=index, sent=sent):
                sent.append(site.hosts.send(index, "POST", "/once/x", f"new-{index}-{len(sent)}", key="new-key"))
                return sent[-1].status == 200
            wait_until(is_in_force, f"host {index} to apply the next configuration")
        assert site.hosts.stop() == [0, 0, 0]


# Guards against an answer beyond the bound that is decoded, or that hosts follow nothing after.
def test_a_nested_answer_of_the_store_is_an_outage():
    with Site() as site:
        site.store.extra = STORED_ARRAYS
        site.store.put("op", "unused", {})
        site.store.put("servers", "i-odd", Endpoint("i-odd").row("app", "draining"))
        site.wait_until_told("the answer", lambda entry: entry["event"] == "store-lost")
        site.store.extra = ""
        site.check_new_endpoint("i-new", "after the answer")
        assert site.hosts.stop() == [0, 0, 0]


# Guards against a bound that refuses what no host decodes: in this form bodies are passed on as they come.
def test_a_callers_nested_body_is_passed_on_where_no_host_reads_it():
    with Site() as site:
        body = BODIES["a field that nobody reads"]
        headers = {"Host": "site.example", "X-Request-Id": "nested", "X-Deadline-Ms": "5000", "X-Credential": "good-key"}
        response = request(site.hosts.callers[0], "POST", "/once/x", headers, body)
        arrived = [run[3] for run in site.endpoints[1].runs if run[2]["x-request-id"] == "nested"]
        assert response.status == 200 and arrived == [body.encode()], (response.status, [len(entry) for entry in arrived])


if __name__ == "__main__":
    run_tests(globals())
