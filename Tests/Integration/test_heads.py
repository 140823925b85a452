# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Requests and responses whose heads are as large as the settings allow, or larger."""

import http.client

from fleet import parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store, send

http.client._MAXHEADERS = 1000  # of the stand-ins, too, which otherwise reject more than 100 fields
HEADER_BYTES = 16_384  # `[limits] header-bytes` and `response-header-bytes` by default
REST_BYTES = 600  # fields that the test, the platform's protocol and the hosts add


def fields(size, count):
    """Returns `count` header fields that take `size` bytes."""
    each = size // count - len("X-Note-0000: \r\n")
    return {f"X-Note-{number:04}": "n" * each for number in range(count)}


class LargeHeadEndpoint(Endpoint):
    """Its responses have the fields of `more` besides those of the protocol."""

    def __init__(self, name):
        self.more = {}
        super().__init__(name)

    def respond(self, handler):
        self.arrivals.append((handler.headers["X-Request-Id"], 0.0))
        head = {"X-Request-Id": handler.headers["X-Request-Id"], "X-Response-Signature": "signed-by-" + self.name, **self.more}
        if handler.path.startswith("/stream/"):
            self.stream(handler, head)
        else:
            send(handler, 200, head, b"body")


class Site:
    def __enter__(self):
        self.store = Store()
        self.store.put("op", "config", CONFIGURATION)
        self.endpoints = {service: LargeHeadEndpoint(f"i-{service}") for service in ("model", "app")}
        for service, endpoint in self.endpoints.items():
            self.store.put("servers", endpoint.name, endpoint.row(service))
        self.hosts = Hosts(parse_options().bin, [self.store.address])
        self.hosts.wait_ready()
        return self

    def __exit__(self, *_):
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def call(self, path, name, more):
        """Sends a request on a kept connection after a small one. Returns the status, 0 if the connection was closed, and the body."""
        connection = http.client.HTTPConnection(self.hosts.callers[0], timeout=10)
        headers = {"Host": "site.example", "X-Deadline-Ms": "5000", "X-Credential": "good-key"}
        try:
            connection.request("POST", path, "payload", {**headers, "X-Request-Id": name + "-first"})
            connection.getresponse().read()
            connection.request("POST", path, "payload", {**headers, "X-Request-Id": name, **more})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def runs(self, name):
        return sum(1 for endpoint in self.endpoints.values() for ran, _ in endpoint.arrivals if ran == name)

    def log(self, event):
        return [entry for entry in self.hosts.log(0) if entry["event"] == event]


# Guards against requests with heads within the limits that are run and whose connections are closed without an answer.
def test_heads_within_the_limits_are_answered():
    with Site() as site:
        for path, service in (("/stream/x", "model"), ("/once/x", "app")):
            for response_fields in (10, 90):
                site.endpoints[service].more = fields(HEADER_BYTES - REST_BYTES, response_fields)
                for request_fields in (10, 260):
                    name = f"{service}-{response_fields}-{request_fields}"
                    status, body = site.call(path, name, fields(HEADER_BYTES - REST_BYTES, request_fields))
                    assert status == 200 and body, (name, status)
                    assert site.runs(name) == 1, name


# Guards against a response whose head is over the limit, which leaves its caller without an answer or with one that is not true.
def test_a_response_with_a_head_over_the_limit_ends_in_a_true_answer():
    with Site() as site:
        site.endpoints["app"].more = fields(2 * HEADER_BYTES, 90)
        status, body = site.call("/once/x", "large", {})
        assert status in (500, 502, 504), (status, body)
        assert site.runs("large") == 1
        wait_until(lambda: site.log("response-over-limit"), "the log to tell the limit")
        entry = site.log("response-over-limit")[0]
        assert entry["limit"] == "head" and entry["bytes"] > HEADER_BYTES and entry["address"] == site.endpoints["app"].address, entry


# Guards against a head over the limit that is run.
def test_a_request_with_a_head_over_the_limit_is_not_run():
    with Site() as site:
        for number, more in enumerate([fields(HEADER_BYTES + 1, 10), fields(HEADER_BYTES // 2, 300)]):
            status, body = site.call("/once/x", f"over-{number}", more)
            assert status == 431, (status, body)
            assert not site.runs(f"over-{number}")


if __name__ == "__main__":
    run_tests(globals())
