# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Endpoints that send what is no response, cut a response inside its head, or send a proper one of an unusual form."""

import socket
import struct
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import Endpoint, Hosts, Store

SERVICES = ("once", "stream")
BODY = b"body of the endpoint"
SOON_SECONDS = 3.0


def route(name, kind):
    return {"name": name, "host": "site.example", "path_prefix": f"/{name}/", "type": kind, "timeout_ms": 6000, "target_latency_ms": 2000,
            "priority": 1, "service": name, "max_attempts": 1, "public": True, "target_gap_ms": 1500}


CONFIGURATION = {"version": 1, "routes": [route("once", "non_idempotent"), route("stream", "streaming")],
                 "services": [{"name": name} for name in SERVICES], "limits": {}, "tenants": []}

# What stands in place of IDENTITY: the fields by which the platform's callers know whose response it is.
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
IN_CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
OK = b"HTTP/1.1 200 OK\r\nIDENTITY"

# Each with the reason in the log.
MALFORMED = {
    **{f"status {status}": (f"HTTP/1.1 {status} Word\r\n".encode() + b"IDENTITY" + LENGTH + b"\r\n" + BODY, reason)
       for status, reason in (("000", "other"), ("001", "other"), ("099", "other"), ("600", "status"), ("700", "status"),
                              ("999", "status"), ("200.5", "status-line"), ("2000", "other"), ("-200", "other"))},
    "status 000 and no length": (b"HTTP/1.1 000 Word\r\nIDENTITY\r\n" + BODY, "other"),
    "status 000 in chunks": (b"HTTP/1.1 000 Word\r\nIDENTITY" + CHUNKED + b"\r\n" + IN_CHUNKS, "other"),
    "status 000 after 100": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Word\r\nIDENTITY" + LENGTH + b"\r\n" + BODY, "other"),
    "another version": (b"HTTP/2 200 OK\r\nIDENTITY" + LENGTH + b"\r\n" + BODY, "status-line"),
    "two spaces": (b"HTTP/1.1  200 OK\r\nIDENTITY" + LENGTH + b"\r\n" + BODY, "status-line"),
    "two lengths": (OK + b"Content-Length: 3\r\n" + LENGTH + b"\r\n" + BODY, "two-lengths"),
    "a length and chunks": (OK + LENGTH + CHUNKED + b"\r\n" + IN_CHUNKS, "two-lengths"),
    "a length with letters": (OK + b"Content-Length: %dx\r\n\r\n" % len(BODY) + BODY, "length"),
    "a length with a sign": (OK + b"Content-Length: +%d\r\n\r\n" % len(BODY) + BODY, "length"),
    "an unknown coding": (OK + b"Transfer-Encoding: odd\r\n\r\n" + BODY, "coding"),
    "a control character": (OK + LENGTH + b"X-Odd: a\x01b\r\n\r\n" + BODY, "field-value"),
    "a carriage return": (OK + LENGTH + b"X-Odd: a\rX-Other: b\r\n\r\n" + BODY, "field-value"),
    "a space before the colon": (OK + LENGTH + b"X-Odd : a\r\n\r\n" + BODY, "field-name"),
    "a line without a colon": (OK + LENGTH + b"odd\r\n\r\n" + BODY, "other"),
}

PROPER = {
    "no reason": b"HTTP/1.1 200\r\nIDENTITY" + LENGTH + b"\r\n" + BODY,
    "an empty reason": b"HTTP/1.1 200 \r\nIDENTITY" + LENGTH + b"\r\n" + BODY,
    "version 1.0 until the close": b"HTTP/1.0 200 OK\r\nIDENTITY\r\n" + BODY,
    "a long head": OK + b"X-Long: " + b"x" * 12000 + b"\r\n" + LENGTH + b"\r\n" + BODY,
    "interim responses": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + OK + LENGTH + b"\r\n" + BODY,
    "chunks with extensions and a trailer": OK + CHUNKED + b"\r\n%x;name=value\r\n%s\r\n0;last\r\nX-Sum: 1\r\n\r\n" % (len(BODY), BODY),
    "chunks of one byte": OK + CHUNKED + b"\r\n" + b"".join(b"1\r\n%c\r\n" % byte for byte in BODY) + b"0\r\n\r\n",
    "status 599": b"HTTP/1.1 599 Odd\r\nIDENTITY" + LENGTH + b"\r\n" + BODY,
}


class RawEndpoint(Endpoint):
    """Sends `raw` in response to each request, and then closes the connection, or resets it if `resets` is set."""

    def __init__(self, name):
        self.raw = b""
        self.resets = False
        super().__init__(name)

    def respond(self, handler):
        self.arrivals.append((handler.headers["X-Request-Id"], time.monotonic()))
        identity = f"X-Request-Id: {handler.headers['X-Request-Id']}\r\nX-Response-Signature: signed-by-{self.name}\r\n".encode()
        handler.close_connection = True
        handler.wfile.write(self.raw.replace(b"IDENTITY", identity))
        handler.wfile.flush()
        if self.resets:
            time.sleep(0.05)  # until what was sent has arrived
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            handler.connection.close()
        else:
            handler.connection.shutdown(socket.SHUT_WR)


class Site:
    def __enter__(self):
        self.store = Store()
        self.store.put("op", "config", CONFIGURATION)
        self.endpoints = {service: RawEndpoint(f"i-{service}") for service in SERVICES}
        for service, endpoint in self.endpoints.items():
            self.store.put("servers", endpoint.name, endpoint.row(service))
        self.hosts = Hosts(parse_options().bin, [self.store.address])
        self.hosts.wait_ready()
        self.count = 0
        return self

    def __exit__(self, *_):
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def call(self, service, raw, resets=False):
        """Sends a request until it has met the endpoint, which may be out of use for a time, and returns the answer."""
        endpoint = self.endpoints[service]
        endpoint.raw, endpoint.resets = raw, resets
        for _ in range(200):
            met = len(endpoint.arrivals)
            self.count += 1
            answer = self.hosts.send(0, "POST", f"/{service}/x", f"r{self.count}")
            if len(endpoint.arrivals) > met:
                return answer
            time.sleep(0.1)
        raise AssertionError("the endpoint got no request")

    def reasons(self):
        return [entry["reason"] for entry in self.hosts.log(0) if entry["event"] == "response-malformed"]


# Guards against callers that get as an answer what is none, such as status 000 or 999, two lengths or a spliced field.
def test_what_is_no_response_reaches_no_caller():
    with Site() as site:
        for service in SERVICES:
            forms = MALFORMED if service == "once" else dict(list(MALFORMED.items())[::3])
            wrong = {}
            expected = []
            before = len(site.reasons())
            for name, (raw, reason) in forms.items():
                if service == "stream":
                    raw = raw.replace(b"IDENTITY", b"IDENTITYContent-Type: text/event-stream\r\n").replace(BODY, b"data: token one..\n\n\n")
                answer = site.call(service, raw)
                expected.append(reason)
                if answer.status != 502 or "x-response-signature" in answer.headers:
                    wrong[name] = (answer.status, answer.body[:40])
            print(f"{service}: {len(forms)} forms, of which these reached the caller: {wrong}", flush=True)
            assert not wrong, (service, wrong)
            wait_until(lambda: len(site.reasons()) == before + len(expected), "the log to tell of each of them")
            assert site.reasons()[before:] == expected, list(zip(forms, expected, site.reasons()[before:]))


# Guards against proper responses of an unusual form that are taken for broken ones.
def test_unusual_responses_are_passed_on():
    with Site() as site:
        for name, raw in PROPER.items():
            answer = site.call("once", raw)
            status = 599 if name == "status 599" else 200
            assert (answer.status, answer.body) == (status, BODY.decode()), (name, answer.status, answer.body[:80])
        assert not site.reasons(), site.reasons()


# Guards against a 200 with an empty or short body for a response that was cut inside its head, by a close or a reset.
def test_a_response_that_is_cut_in_its_head_is_no_answer():
    with Site() as site:
        for service in SERVICES:
            kind = b"Content-Type: text/event-stream\r\n" if service == "stream" else b"Content-Type: text/plain\r\n"
            for framing in (LENGTH, CHUNKED) if service == "once" else (CHUNKED,):
                head = b"HTTP/1.1 200 OK\r\nIDENTITY" + kind + framing + b"\r\n"
                cuts = [*range(10, len(head) - 2, 45), len(head) - 2, len(head) - 1]
                for cut in cuts:
                    for resets in (False, True):
                        answer = site.call(service, head[:cut], resets)
                        assert answer.status == 502, (service, framing, head[:cut], resets, answer.status, answer.body)


# Guards against a host that reads the extension of a chunk, which has no end, until the deadline of the request.
def test_a_chunk_extension_without_end_is_closed():
    with Site() as site:
        endpoint = site.endpoints["once"]

        def respond(handler):
            endpoint.arrivals.append((handler.headers["X-Request-Id"], time.monotonic()))
            identity = f"X-Request-Id: {handler.headers['X-Request-Id']}\r\nX-Response-Signature: s\r\n".encode()
            handler.close_connection = True
            handler.wfile.write(OK.replace(b"IDENTITY", identity) + CHUNKED + b"\r\n5;a=")
            while True:  # until the host closes the connection
                handler.wfile.write(b"x" * 0x10000)

        endpoint.respond = respond
        began = time.monotonic()
        answer = site.hosts.send(0, "POST", "/once/x", "endless")
        seconds = time.monotonic() - began
        print(f"{answer.status} after {seconds:.2f} s", flush=True)
        assert answer.status == 502 and seconds < SOON_SECONDS, (answer.status, seconds)
        wait_until(lambda: site.reasons() == ["framing"], "the log to tell of the extension")


if __name__ == "__main__":
    run_tests(globals())
