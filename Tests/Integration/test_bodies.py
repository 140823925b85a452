# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Callers whose requests' bodies together are larger than the memory of a host."""

import contextlib
import os
import socket
import threading
import time

from fleet import parse_options, request, run_tests, wait_until
from recordsplatform import Endpoint, Hosts, Store, send

# The memory of the machines of two deployments, in MB of 2^20 bytes.
SMALL_MACHINE_MB = 88
MACHINE_MB = 110
# A plain build takes less than this before it has done anything; a sanitized one more, so that only its growth can be judged.
MOST_AT_START_MB = 25
CALLERS = 200
LARGE_BYTES = 4_000_000
SITE_BYTES = 100_000
PIECE_BYTES = 0x10000
DEADLINE_SECONDS = 10.0
RECEIVE_MS = 5000
SLOTS = 4
HOLD_SECONDS = 0.2  # how long an endpoint takes for each request
SMALL_PAUSE_SECONDS = 0.02
TRICKLE_SECONDS = 0.1  # between two bytes of a slow caller
LEFT_TO_TRICKLE = 1000
REFUSED = (408, 429, 503)  # these statuses promise that the request was not run


def route(name, target_ms):
    return {"name": name, "host": "site.example", "path_prefix": f"/{name}/", "type": "non_idempotent", "timeout_ms": int(DEADLINE_SECONDS * 1000),
            "target_latency_ms": target_ms, "priority": 1, "service": name, "max_attempts": 1, "public": True}


CONFIGURATION = {"version": 1, "routes": [route("large", 4000), route("small", 2000)], "services": [{"name": "large"}, {"name": "small"}],
                 "limits": {}, "tenants": []}


class SlowEndpoint(Endpoint):
    """Takes `hold` seconds for each request, and keeps the length of its body only."""

    def __init__(self, name, hold):
        self.hold = hold
        super().__init__(name)

    def respond(self, handler):
        name = handler.headers["X-Request-Id"]
        self.runs.append((name, len(handler.body)))
        handler.body = b""
        time.sleep(self.hold)
        send(handler, 200, {"X-Request-Id": name, "X-Response-Signature": "signed-by-" + self.name}, b"done")

    def run_count(self, name):
        return sum(1 for entry in self.runs if entry[0] == name)


class Site:
    def __init__(self, memory_mb, hold=HOLD_SECONDS):
        self.memory_mb = memory_mb
        self.hold = hold

    def __enter__(self):
        self.store = Store()
        self.store.put("op", "config", CONFIGURATION)
        self.endpoints = {"large": SlowEndpoint("i-large", self.hold), "small": SlowEndpoint("i-small", 0.0)}
        for service, endpoint in self.endpoints.items():
            self.store.put("servers", endpoint.name, endpoint.row(service))
        self.hosts = Hosts(parse_options().bin, [self.store.address], f"[limits]\nreceive-ms = {RECEIVE_MS}\n")
        self.restart_with_memory()
        self.hosts.wait_ready()
        self.before = self.peak_memory_mb()
        return self

    def restart_with_memory(self):
        """Names the machine's memory, as the template of the deployment does."""
        self.hosts.processes[0].kill()
        self.hosts.processes[0].wait()
        path = os.path.join(self.hosts.directory, "h0.ini")
        with open(path, encoding="utf-8") as file:
            text = file.read().replace("[host]\n", f"[host]\nmemory-mb = {self.memory_mb}\n", 1)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.hosts.start(0)

    def __exit__(self, *_):
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def peak_memory_mb(self):
        with open(f"/proc/{self.hosts.processes[0].pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM:")) / 1024

    def assert_memory(self, what):
        assert self.hosts.processes[0].poll() is None, f"{what}: the host has ended"
        peak = self.peak_memory_mb()
        print(f"{what}: peak memory {peak:.0f} MB of {self.memory_mb}, {self.before:.0f} before", flush=True)
        assert peak - self.before < self.memory_mb - MOST_AT_START_MB, (what, peak, self.before)
        assert self.before > MOST_AT_START_MB or peak < self.memory_mb, (what, peak, self.before)

    def connect(self):
        ip, port = self.hosts.callers[0].split(":")
        return socket.create_connection((ip, int(port)), timeout=3 * DEADLINE_SECONDS)

    def metric(self, name):
        text = request(self.hosts.operators[0], "GET", "/metrics").body
        return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith((name + " ", name + "{")))


def head(service, name, field):
    return (f"POST /{service}/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {name}\r\nX-Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n"
            f"{field}\r\n\r\n").encode()


def read_status(connection):
    """Returns the status and the Retry-After of the response, or None for a connection that ends without one."""
    data = b""
    with contextlib.suppress(OSError):
        while b"\r\n\r\n" not in data:
            piece = connection.recv(4096)
            if not piece:
                break
            data += piece
    lines = data.split(b"\r\n\r\n")[0].decode().splitlines()
    if not lines or not lines[0].startswith("HTTP/1.1 "):
        return None, None
    fields = dict(line.lower().split(": ", 1) for line in lines[1:])
    return int(lines[0].split()[1]), fields.get("retry-after")


def send_whole(site, service, name, body, chunked=False):
    """Sends a request and returns the status and Retry-After."""
    with site.connect() as connection:
        with contextlib.suppress(OSError):
            if chunked:
                connection.sendall(head(service, name, "Transfer-Encoding: chunked"))
                for start in range(0, len(body), PIECE_BYTES):
                    piece = body[start:start + PIECE_BYTES]
                    connection.sendall(b"%x\r\n" % len(piece) + piece + b"\r\n")
                connection.sendall(b"0\r\n\r\n")
            else:
                connection.sendall(head(service, name, f"Content-Length: {len(body)}"))
                connection.sendall(body)
        return read_status(connection)


class SmallCaller:
    """Sends one small request after the other, as a caller of another service."""

    def __init__(self, site):
        self.site = site
        self.answers = []
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.ending.is_set():
            began = time.monotonic()
            status, _ = send_whole(self.site, "small", f"small-{len(self.answers)}", b"payload")
            self.answers.append((status, time.monotonic() - began))
            time.sleep(SMALL_PAUSE_SECONDS)

    def assert_served(self):
        self.ending.set()
        self.thread.join()
        worst = max(seconds for _, seconds in self.answers)
        print(f"{len(self.answers)} small requests, the slowest took {worst:.2f} s", flush=True)
        assert all(status == 200 for status, _ in self.answers), [answer for answer in self.answers if answer[0] != 200][:10]
        assert worst < CONFIGURATION["routes"][1]["target_latency_ms"] / 1000, worst


def assert_final(site, what, answers):
    """Every caller has a final answer, and what was refused was not run."""
    counts = {}
    for status, _ in answers.values():
        counts[status] = counts.get(status, 0) + 1
    print(f"{what}: answers {counts}, {len(site.endpoints['large'].runs)} runs", flush=True)
    assert None not in counts, f"{what}: callers without an answer: {counts}"
    for name, (status, retry_after) in answers.items():
        runs = site.endpoints["large"].run_count(name)
        assert runs == (1 if status == 200 else runs), (name, status, runs)
        if status in REFUSED:
            assert runs == 0, (name, status, runs)
        if status in (429, 503):
            assert retry_after is not None and float(retry_after) > 0, (name, status, retry_after)
    assert set(counts) <= {200, 504, *REFUSED}, counts


def flood(site, what, size, chunked=False):
    body = b"x" * size
    answers = {}

    def call(name):
        answers[name] = send_whole(site, "large", name, body, chunked)

    small = SmallCaller(site)
    threads = [threading.Thread(target=call, args=(f"{what}-{number}",)) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(answers) == CALLERS
    site.assert_memory(what)
    small.assert_served()
    assert_final(site, what, answers)
    assert any(status == 200 for status, _ in answers.values()), f"{what}: none was served"
    assert all(length == size for name, length in site.endpoints["large"].runs if name.startswith(what))


# Guards against hosts that are ended because 200 callers' bodies, each within the limit, take more than their memory.
def test_bodies_with_a_length_stay_within_the_memory():
    for memory_mb in (MACHINE_MB, SMALL_MACHINE_MB):
        with Site(memory_mb) as site:
            flood(site, f"length-{memory_mb}", LARGE_BYTES)
            flood(site, f"again-{memory_mb}", LARGE_BYTES)


# Guards against the same for bodies whose length is not known before they have ended.
def test_chunked_bodies_stay_within_the_memory():
    for memory_mb in (MACHINE_MB, SMALL_MACHINE_MB):
        with Site(memory_mb) as site:
            flood(site, f"chunked-{memory_mb}", LARGE_BYTES, chunked=True)


# Guards against hosts that are ended by the bodies of a whole site at once, and against bounds that refuse what fits.
def test_many_middling_bodies_are_served():
    with Site(MACHINE_MB, hold=0.02) as site:
        flood(site, "middling", SITE_BYTES)
        assert len(site.endpoints["large"].runs) == CALLERS, len(site.endpoints["large"].runs)


def trickle(site, what, first_bytes):
    """Starts CALLERS bodies of which `first_bytes` come at once and the rest a byte at a time; returns their answers."""
    answers = {}
    piece = b"x" * first_bytes

    def call(name):
        with site.connect() as connection:
            with contextlib.suppress(OSError):
                connection.sendall(head("large", name, f"Content-Length: {LARGE_BYTES}") + piece)
                connection.settimeout(TRICKLE_SECONDS)
                while True:
                    with contextlib.suppress(TimeoutError):
                        connection.recv(1, socket.MSG_PEEK)
                        break
                    connection.sendall(b"x")
            connection.settimeout(DEADLINE_SECONDS)
            answers[name] = read_status(connection)

    threads = [threading.Thread(target=call, args=(f"{what}-{number}",)) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
    return threads, answers


def trickled_bodies_leave_room(first_bytes, memory_mb):
    with Site(memory_mb) as site:
        small = SmallCaller(site)
        what = f"trickle-{first_bytes}"
        threads, answers = trickle(site, what, first_bytes)
        time.sleep(1.0)  # so that the slow ones have what room they get
        began = time.monotonic()
        tries = 0
        status, retry_after = None, None
        while status != 200 and time.monotonic() - began < DEADLINE_SECONDS:
            tries += 1
            status, retry_after = send_whole(site, "large", f"sound-{tries}", b"x" * LARGE_BYTES)
            if status in REFUSED:
                time.sleep(float(retry_after or 0.1))
        print(f"{what}: a sound body was served at try {tries}, after {time.monotonic() - began:.1f} s", flush=True)
        assert status == 200, (status, tries)
        for thread in threads:
            thread.join()
        site.assert_memory(what)
        small.assert_served()
        assert_final(site, what, answers)


# Guards against callers that send a byte at a time and take the room of sound ones, with the first byte or with the last.
def test_bodies_that_trickle_in_leave_room_for_others():
    trickled_bodies_leave_room(0, MACHINE_MB)
    trickled_bodies_leave_room(LARGE_BYTES - LEFT_TO_TRICKLE, MACHINE_MB)
    trickled_bodies_leave_room(LARGE_BYTES - LEFT_TO_TRICKLE, SMALL_MACHINE_MB)


# Guards against room that is never given back by callers that have gone, with their bodies half sent or waiting for an endpoint.
def test_callers_that_leave_give_their_room_back():
    with Site(MACHINE_MB, hold=1.0) as site:
        for rest in (LEFT_TO_TRICKLE, 0):
            connections = [site.connect() for _ in range(CALLERS // 10)]
            for number, connection in enumerate(connections):
                connection.sendall(head("large", f"gone-{rest}-{number}", f"Content-Length: {LARGE_BYTES}") + b"x" * (LARGE_BYTES - rest))
            wait_until(lambda: site.metric("yokepond_body_bytes") >= LARGE_BYTES, "bodies to be held")
            for connection in connections:
                connection.close()
            wait_until(lambda: site.metric("yokepond_body_bytes") == 0, "the room of callers that have gone")
        assert send_whole(site, "large", "sound", b"x" * LARGE_BYTES)[0] == 200
        site.assert_memory("gone")


# Guards against a bound that works unseen.
def test_refused_bodies_are_counted_and_logged():
    with Site(MACHINE_MB) as site:
        flood(site, "seen", LARGE_BYTES)
        wait_until(lambda: site.metric("yokepond_bodies_refused_total") > 0, "the metric of refused bodies")
        wait_until(lambda: any(entry["event"] == "bodies-over-bound" for entry in site.hosts.log(0)), "the log to tell of refused bodies")


if __name__ == "__main__":
    # Freed memory must be given back for the peak to tell anything, also in a build with the address sanitizer.
    os.environ["ASAN_OPTIONS"] = os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1:allocator_release_to_os_interval_ms=500"
    run_tests(globals())
