# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Hosts that get deeply nested JSON from others."""

from fleet import Fleet, request, run_tests

DEPTH = 100_000
ARRAYS = "[" * DEPTH + "]" * DEPTH
OBJECTS = '{"":' * DEPTH + "1" + "}" * DEPTH
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


if __name__ == "__main__":
    run_tests(globals())
