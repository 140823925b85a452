# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Endpoints whose responses never end: bytes that are no response, in a head or a body, until the host closes the connection."""

import os
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import Endpoint, Hosts, Store

DEADLINE_SECONDS = 10.0
# A response that never ends is closed when it is over its limit, far from the deadline. Python sends some hundred MB a second.
SOON_SECONDS = 5.0
# Half of what a host may take at the target size, 128 MB. A sanitized build takes more before it has done anything.
MAX_GROWTH_MB = 64
REJECTIONS = 3
MOST_TRIES = 200  # requests until so many have met the endpoint that rejects; two endpoints serve them
PIECE = b"x" * 0x10000


def route(name, kind, attempts):
    return {"name": name, "host": "site.example", "path_prefix": f"/{name}/", "type": kind, "timeout_ms": int(DEADLINE_SECONDS * 1000),
            "target_latency_ms": 4000, "priority": 1, "service": name, "max_attempts": attempts, "public": True, "target_gap_ms": 1500}


CONFIGURATION = {"version": 1, "routes": [route("once", "non_idempotent", 1), route("twice", "idempotent", 3), route("stream", "streaming", 1)],
                 "services": [{"name": name} for name in ("once", "twice", "stream")], "limits": {}, "tenants": []}


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


# What an endless response begins with, after the status line, and what it repeats.
ENDLESS = {
    "chunked-body": (b"Transfer-Encoding: chunked\r\n\r\n", chunk(PIECE)),
    "body-without-length": (b"Connection: close\r\n\r\n", PIECE),
    "trailers": (b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"body") + b"0\r\n", b"X-Line: " + b"x" * 1000 + b"\r\n"),
    "head": (b"", b"X-Line: " + b"x" * 1000 + b"\r\n"),
    "comments": (b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(b": nothing\n\n" * 500)),
}


class EndlessEndpoint(Endpoint):
    """`way`: one of ENDLESS, sent in response to each request; None: it is sound. `status`: the status line and further fields."""

    def __init__(self, name):
        self.way = None
        self.status = b"HTTP/1.1 200 OK\r\n"
        super().__init__(name)

    def respond(self, handler):
        if self.way is None:
            super().respond(handler)
            return
        self.arrivals.append((handler.headers["X-Request-Id"], time.monotonic()))
        start, repeated = ENDLESS[self.way]
        identity = f"X-Request-Id: {handler.headers['X-Request-Id']}\r\nX-Response-Signature: signed-by-{self.name}\r\n"
        handler.close_connection = True
        handler.wfile.write(self.status + identity.encode() + start)
        while True:  # until the host closes the connection
            handler.wfile.write(repeated)


class Site:
    def __enter__(self):
        self.store = Store()
        self.store.put("op", "config", CONFIGURATION)
        self.endpoints = {service: EndlessEndpoint(f"i-{service}") for service in ("once", "twice", "stream")}
        self.sound = Endpoint("i-sound")
        for service, endpoint in self.endpoints.items():
            self.store.put("servers", endpoint.name, endpoint.row(service))
        self.store.put("servers", self.sound.name, self.sound.row("twice"))
        self.hosts = Hosts(parse_options().bin, [self.store.address])
        self.hosts.wait_ready()
        return self

    def __exit__(self, *_):
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def call(self, service, name):
        began = time.monotonic()
        response = self.hosts.send(0, "POST", f"/{service}/x", name, **{"X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))})
        return response, time.monotonic() - began

    def limits(self):
        return [entry["limit"] for entry in self.hosts.log(0) if entry["event"] == "response-over-limit"]

    def peak_memory_mb(self):
        with open(f"/proc/{self.hosts.processes[0].pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM:")) / 1024


# Guards against responses without end that a host reads, and holds, until the deadline of the request.
def test_endless_responses_end_soon_in_a_final_answer():
    with Site() as site:
        before = site.peak_memory_mb()
        for way, limit in (("chunked-body", "body"), ("body-without-length", "body"), ("trailers", "head"), ("head", "head")):
            site.endpoints["once"].way = way
            response, seconds = site.call("once", way)
            print(f"{way}: {response.status} after {seconds:.2f} s, peak memory {site.peak_memory_mb():.0f} MB, {before:.0f} before", flush=True)
            assert response.status in (500, 502, 504) and seconds < SOON_SECONDS, (way, response.status, seconds)
            wait_until(lambda limit=limit: site.limits()[-1:] == [limit], f"the log to tell that {way} was over the limit")
        assert site.peak_memory_mb() < before + MAX_GROWTH_MB, (before, site.peak_memory_mb())


# Guards against the same for a stream of comments.
def test_a_stream_of_nothing_but_comments_ends():
    with Site() as site:
        site.endpoints["stream"].way = "comments"
        _, seconds = site.call("stream", "comments")
        assert seconds < SOON_SECONDS, seconds
        wait_until(lambda: site.limits() == ["comments"], "the log to tell that there were too many comments")


# Guards against the body of a rejection that holds up the next attempt, although its head has said that nothing was run.
def test_an_endless_rejection_gives_way_to_the_next_attempt():
    with Site() as site:
        site.endpoints["twice"].way = "chunked-body"
        site.endpoints["twice"].status = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
        for number in range(MOST_TRIES):
            response, seconds = site.call("twice", f"r{number}")
            assert response.status == 200 and seconds < SOON_SECONDS, (response.status, seconds)
            if len(site.endpoints["twice"].arrivals) >= REJECTIONS:
                break
        assert len(site.endpoints["twice"].arrivals) >= REJECTIONS, number
        wait_until(lambda: site.limits().count("body") >= REJECTIONS, "the log to tell that the bodies of rejections were over the limit")


if __name__ == "__main__":
    # Freed memory must be given back for the peak to tell anything, also in a build with the address sanitizer.
    os.environ["ASAN_OPTIONS"] = os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1:allocator_release_to_os_interval_ms=500"
    run_tests(globals())
