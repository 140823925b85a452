# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Engines that a part of a prompt crashes, the callers before them, and the platform's checks of how often that part reaches engines."""

import collections
import dataclasses
import itertools
import random
import socket
import threading
import time

from recordsplatform import Endpoint
from streamcaller import StreamCaller

# As long as the platform allows until every host that is in touch knows what has happened.
CONTACT_SECONDS = 3.0
# Crashes after which the platform expects the part to be known, and requests with it that may reach engines from then on.
CRASHES = 5
MOST_SENT_LATER = 3
RESTART_SECONDS = 3.5
PREFILL_SECONDS = 0.25
# From the beginning of an answer to the crash.
CRASH_SECONDS = 0.1


@dataclasses.dataclass
class Arrival:
    """A request with a crashing part that reached an engine."""

    at: float  # monotonic
    engine: str
    name: str = ""  # the request's X-Request-Id
    part: str = ""


class CrashingEngine(Endpoint):
    """An engine that crashes when it begins an answer to a prompt with one of `pool.bad_parts`: it closes its port and all connections."""

    def __init__(self, name, pool, version="v1"):
        self.pool = pool
        self.up = True
        self.lock = threading.Lock()
        self.connections = set()
        super().__init__(name, version)

    def row(self, service, state="ready"):
        return {**super().row(service, state), "slots": 32}

    def respond(self, handler):
        with self.lock:
            self.connections.add(handler.connection)
            if not self.up:
                handler.close_connection = True
                handler.connection.shutdown(socket.SHUT_RDWR)
                return
        super().respond(handler)

    def stream(self, handler, head):
        parts = [part.split(":")[0] for part in handler.headers.get("X-Prefix-Hash", "").split(",")]
        bad = self.pool.crashing_part(parts[:-1], self.version)
        if bad:
            self.pool.arrivals.append(Arrival(time.monotonic(), self.name, handler.headers["X-Request-Id"], bad))
        time.sleep(self.pool.prefill_seconds)
        if not bad:
            if next(self.pool.streams) < self.pool.cut_first:
                self.send_head(handler, head, {"Connection": "close"})
            elif self.pool.framed:
                super().stream(handler, head)
            else:
                self.stream_until_close(handler, head)
            return
        self.send_head(handler, head, {"Transfer-Encoding": "chunked"} if self.pool.framed else {"Connection": "close"})
        time.sleep(CRASH_SECONDS)
        self.pool.crash(self, bad)

    @staticmethod
    def send_head(handler, head, framing):
        """Sends the head of a stream, after whose end the connection is closed."""
        handler.send_response(200)
        for name, value in {**head, "Content-Type": "text/event-stream", **framing}.items():
            handler.send_header(name, value)
        handler.end_headers()
        handler.close_connection = True

    def stream_until_close(self, handler, head):
        """Sends a whole stream without a length and without chunks, which ends with its connection."""
        self.send_head(handler, head, {"Connection": "close"})
        for number in range(1, 6):
            time.sleep(self.event_pause)
            handler.wfile.write(f"id: {number}\ndata: token {number} of {self.version}\n\n".encode())

    def fall(self):
        """Closes the port and all connections; returns False if that had been done."""
        with self.lock:
            if not self.up:
                return False
            self.up = False
            connections = list(self.connections)
        self.http.socket.close()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=self.http.shutdown, daemon=True).start()
        return True


class EnginePool:
    """The engines of one service. One that has crashed is back after some seconds, under another name and address.

    `bad_parts`: the parts that crash engines. `bad_versions`: the software versions that they crash; empty for all.
    `framed`: whether answers come in chunks; otherwise they end with their connection.
    `prefill_seconds`: seconds before the head of each stream.
    `cut_first`: number of streams, from the first on, whose connections are closed after their heads.
    """

    def __init__(self, store, count, event_pause=0.1, versions=("v1",), framed=True):
        self.store = store
        self.event_pause = event_pause
        self.bad_parts = set()
        self.bad_versions = set()
        self.framed = framed
        self.cut_first = 0
        self.prefill_seconds = PREFILL_SECONDS
        self.streams = itertools.count()
        self.lock = threading.Lock()
        self.names = itertools.count()
        self.engines = []
        self.crash_times = collections.defaultdict(list)  # by part
        self.arrivals = []
        for number in range(count):
            self.start(versions[number % len(versions)])

    def start(self, version):
        engine = CrashingEngine(f"i-engine-{next(self.names)}", self, version)
        engine.event_pause = self.event_pause
        with self.lock:
            self.engines.append(engine)
        self.store.put("servers", engine.name, engine.row("model"))

    def crashing_part(self, parts, version):
        """The first of the parts that crashes engines of the version, or an empty text."""
        if self.bad_versions and version not in self.bad_versions:
            return ""
        return next((part for part in parts if part in self.bad_parts), "")

    def crash(self, engine, part):
        if engine.fall():
            self.crash_times[part].append(time.monotonic())
            self.replace(engine)

    def replace(self, engine):
        with self.lock:
            self.engines.remove(engine)
        threading.Thread(target=self.restart, args=(engine,), daemon=True).start()

    def restart(self, engine):
        time.sleep(RESTART_SECONDS / 2)
        self.store.remove("servers", engine.name)
        time.sleep(RESTART_SECONDS / 2)
        self.start(engine.version)

    def kill(self, engines):
        """Ends engines for another reason than what they run."""
        for engine in engines:
            if engine.fall():
                self.replace(engine)

    def first_crash(self):
        return min(times[0] for times in self.crash_times.values())

    def known_from(self, part):
        """When every host has to know the part: some time after its fifth crash, or after the last if there are fewer."""
        return self.crash_times[part][:CRASHES][-1] + CONTACT_SECONDS

    def all_known_from(self):
        return max(self.known_from(part) for part in self.crash_times)

    def sent_late(self, part):
        return sum(1 for arrival in self.arrivals if arrival.part == part and arrival.at > self.known_from(part))


class PartCallers:
    """Callers that send prompts of several parts until they are stopped: sound ones all share the first part, `shared` more in turn."""

    def __init__(self, hosts, seed, shared=6):
        self.hosts = hosts
        self.caller = StreamCaller(hosts.callers)
        self.random = random.Random(seed)
        self.shared = shared
        self.numbers = itertools.count()
        self.stopping = threading.Event()
        self.threads = []
        self.sound = []  # streams of sound prompts
        self.bad = []  # streams of prompts with a crashing part

    def prompt(self, bad_part="", bad_first=False):
        own = f"{self.random.getrandbits(60):x}:40"
        common = ["f1a57:350", f"{0x5ad0 + self.random.randrange(self.shared):x}:110"]
        if not bad_part:
            return ",".join([*common, own])
        bad = f"{bad_part}:200"
        return ",".join([bad, *common, own] if bad_first else [common[0], common[1], bad, own])

    def call(self, parts, streams):
        stream = self.caller.begin(self.random.randrange(len(self.hosts.callers)), f"request-{next(self.numbers)}", parts=parts)
        streams.append(stream)
        return stream

    def repeat_sound(self):
        while not self.stopping.is_set():
            self.call(self.prompt(), self.sound)
            time.sleep(0.02)

    def repeat_bad(self, part, first, pause):
        while not self.stopping.is_set():
            self.call(self.prompt(part, first), self.bad)
            time.sleep(pause)

    def start_sound(self, count):
        self.start(count, self.repeat_sound)

    def start_bad(self, count, part, first=False, pause=0.1):
        self.start(count, self.repeat_bad, part, first, pause)

    def start(self, count, target, *arguments):
        for _ in range(count):
            self.threads.append(threading.Thread(target=target, args=arguments, daemon=True))
            self.threads[-1].start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(timeout=30)

    def share_that_begins(self, since, until):
        """The share of sound requests sent in a period whose first try brought an event, and their number."""
        sent = [stream for stream in list(self.sound) if since <= stream.tries[0].sent < until]
        begun = sum(1 for stream in sent if stream.tries[0].events)
        return (begun / len(sent) if sent else 0.0), len(sent)


def assert_part_reaches_few_engines(pool):
    """Asserts the platform's rule on requests with a part that crashes engines."""
    assert pool.crash_times
    for part, times in pool.crash_times.items():
        arrived = sum(1 for arrival in pool.arrivals if arrival.part == part)
        late = pool.sent_late(part)
        print(f"{len(times)} engines crashed, {arrived} requests with the part {part} reached engines, {late} of them late", flush=True)
        assert late <= MOST_SENT_LATER, late


def assert_sound_requests_begin(callers, pool, since, end):
    """Asserts the platform's rule that sound requests begin at least half as often as before, from twice the time until all know."""
    before, count_before = callers.share_that_begins(since, pool.first_crash())
    after, count_after = callers.share_that_begins(pool.all_known_from() + CONTACT_SECONDS, end)
    print(f"sound requests that begin at the first try: {before:.2f} of {count_before} before, {after:.2f} of {count_after} after", flush=True)
    assert count_before >= 20 and count_after >= 20, (count_before, count_after)
    assert after >= before / 2, (before, after)
