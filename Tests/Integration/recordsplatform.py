# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Stand-ins for the platform that keeps records: its store, its endpoints, and hosts that run on it."""

import base64
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from fleet import localfleet, request, wait_until


class QuietServer(ThreadingHTTPServer):
    """A host that goes away midway is what tests are about, and no error of the stand-in."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Server:
    """An HTTP server on a thread of its own; `respond(handler)` answers."""

    def __init__(self):
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                self.body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                outer.respond(self)

            do_GET = do_POST = handle_any

            def log_message(self, *_):
                pass

        self.http = QuietServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.http.server_address[1]}"
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def stop(self):
        self.http.shutdown()
        self.http.server_close()


def send(handler, status, headers, body=b""):
    handler.send_response(status)
    for name, value in headers.items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


class Store(Server):
    """Rows with versions from one counter, and the feed of their changes. `down`: answers nothing but 503. `swallow`: calls that are
    there or come meanwhile are never answered, also not when it is over. `slow`: seconds by which each answer comes later."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 0
        self.oldest = 0
        self.down = False
        self.swallow = False
        self.slow = 0.0
        self.ended = threading.Event()
        super().__init__()

    def put(self, table, key, value):
        with self.lock:
            self.version += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[(table, key)] = {"table": table, "part": "", "key_file": key, "value": text, "schema_version": self.version}
            self.lock.notify_all()

    def remove(self, table, key):
        with self.lock:
            self.version += 1
            self.rows[(table, key)] = {"table": table, "part": "", "key_file": key, "deleted": True, "schema_version": self.version}
            self.lock.notify_all()

    def forget_history(self):
        with self.lock:
            self.version += 1
            self.oldest = self.version
            self.rows = {key: row for key, row in self.rows.items() if not row.get("deleted")}
            self.lock.notify_all()

    def changed(self, table, since):
        found = [row for (owner, _), row in self.rows.items() if owner == table and row["schema_version"] > since]
        return sorted(found, key=lambda row: row["schema_version"])

    def respond(self, handler, turned_away=lambda: False):
        time.sleep(self.slow)
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.swallow:
            self.never_answer(handler)
            return
        with self.lock:
            if self.down or turned_away():
                send(handler, 503, {})
                return
            if url.path == "/rows-tx":
                self.transact(handler, json.loads(handler.body))
                return
            table = query["table"]
            if url.path == "/rows-get":
                rows = [row for row in self.changed(table, -1) if not row.get("deleted")]
                self.answer(handler, {"rows": rows, "has_more": False})
                return
            since = int(query["since_revision"])
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while not self.changed(table, since) and not self.down and not self.swallow and not turned_away() \
                    and since >= self.oldest and time.monotonic() < until:
                self.lock.wait(0.05)
            swallowed = self.swallow
        if swallowed:
            self.never_answer(handler)
            return
        with self.lock:
            if self.down or turned_away():
                send(handler, 503, {})
                return
            if since < self.oldest:
                send(handler, 410, {})
                return
            self.answer(handler, {"rows": self.changed(table, since)})

    def transact(self, handler, body):
        """Writes all rows if each expected one has its version."""
        expected = [(row, self.rows.get((row["table"], row["key_file"]))) for row in body["expected_revision"]]
        held = [row for _, row in expected if row is not None]
        if any((row["schema_version"] if row else 0) != wanted["schema_version"] for wanted, row in expected):
            answer = {"rows": held, "schema_version": self.version, "now_ms": int(time.monotonic() * 1000)}
            send(handler, 412, {"Content-Type": "application/json"}, json.dumps(answer).encode())
            return
        self.version += 1
        for row in body["write"]:
            self.rows[(row["table"], row["key_file"])] = {**row, "schema_version": self.version}
        self.lock.notify_all()
        self.answer(handler, {})

    def never_answer(self, handler):
        self.ended.wait()
        handler.close_connection = True

    def answer(self, handler, body):
        body.update({"schema_version": self.version, "now_ms": int(time.monotonic() * 1000)})
        send(handler, 200, {"Content-Type": "application/json"}, json.dumps(body).encode())


class Door(Server):
    """An address of its own for the store. `closed`: those who come by it are turned away, while the store serves the others.
    `calls`: those that came by it."""

    def __init__(self, store):
        self.store = store
        self.closed = False
        self.calls = 0
        super().__init__()

    def respond(self, handler):
        self.calls += 1
        self.store.respond(handler, lambda: self.closed)


class Duties(Server):
    """Where duties are done. Takes what comes, and judges it: `broken` lists what the platform forbids. `down`: answers only 503."""

    def __init__(self):
        self.lock = threading.Lock()
        self.down = False
        self.reports = {}  # counts by window
        self.orders = []  # bodies
        self.holders = []  # of all calls, in order
        self.fences = {}  # by path: fence, to the holder that used it
        self.broken = []
        super().__init__()

    def respond(self, handler):
        body = json.loads(handler.body)
        holder = handler.headers["X-Duty-Holder"]
        fence = int(handler.headers["X-Fencing-Token"])
        with self.lock:
            used = self.fences.setdefault(handler.path, {})
            if used and fence < max(used):
                self.broken.append(f"{handler.path}: fence {fence} of {holder} after {max(used)}")
            if used.setdefault(fence, holder) != holder:
                self.broken.append(f"{handler.path}: fence {fence} of {used[fence]} and {holder}")
            if self.down:
                send(handler, 503, {})
                return
            self.holders.append(holder)
            if handler.path == "/metering":
                if self.reports.setdefault(body["window_id"], body["counts"]) != body["counts"]:
                    self.broken.append(f"window {body['window_id']} reported twice: {body['counts']}")
            else:
                self.orders.append(body)
        send(handler, 200, {})

    def total(self, organisation):
        with self.lock:
            return sum(counts.get(organisation, 0) for counts in self.reports.values())


class Runner(Server):
    """An endpoint. Streams five events; `cut_after`: breaks a new stream off, within the event after so many. `refuse`: turns all away, and
    asks for `rest` if that is set; `leaving`: says in all its answers that it leaves."""

    def __init__(self, name):
        self.name = name
        self.runs = []
        self.arrivals = []  # names of requests, and when they came
        self.cut_after = None
        self.refuse = False
        self.rest = None
        self.leaving = False
        self.refused = 0
        self.unsigned = False
        super().__init__()

    def row(self, service, state="ready"):
        return {"service": service, "address": self.address, "zone": "a", "slots": 4, "state": state, "sequence": 1}

    def respond(self, handler):
        if handler.headers["X-Expect-Instance"] != self.name:
            send(handler, 421, {"X-Instance-Id": self.name})
            return
        said = {"Server-Leaving": "1"} if self.leaving else {}
        if self.refuse:
            self.refused += 1
            send(handler, 503, {"X-Not-Executed": "1", **said, **({"Retry-After": self.rest} if self.rest else {})})
            return
        headers = {name.lower(): value for name, value in handler.headers.items()}
        self.runs.append((handler.command, handler.path, headers, handler.body))
        self.arrivals.append((headers["x-request-id"], time.monotonic()))
        head = {"X-Request-Id": handler.headers["X-Request-Id"], "X-Response-Signature": "signed-by-" + self.name, **said}
        if self.unsigned:
            del head["X-Response-Signature"]
        if handler.path.startswith("/stream/"):
            self.stream(handler, head)
        else:
            send(handler, 200, head, b"body of " + self.name.encode())

    def stream(self, handler, head):
        handler.send_response(200)
        for name, value in {**head, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}.items():
            handler.send_header(name, value)
        handler.end_headers()
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, 6):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            if self.cut_after is not None and first == 1 and number > self.cut_after:
                handler.wfile.write(b"%x\r\n" % len(event[:7]) + event[:7] + b"\r\n")
                handler.close_connection = True
                handler.connection.shutdown(socket.SHUT_RDWR)
                return
            handler.wfile.write(b"%x\r\n" % len(event) + event + b"\r\n")
        handler.wfile.write(b"0\r\n\r\n")


CONFIGURATION = {
    "version": 1,
    "routes": [
        {"name": "stream", "host": "site.example", "path_prefix": "/stream/", "type": "streaming", "timeout_ms": 6000,
         "target_latency_ms": 2000, "priority": 0, "service": "model", "max_attempts": 2, "public": False,
         "stream_resume": True, "target_gap_ms": 1500},
        {"name": "once", "host": "site.example", "path_prefix": "/once/", "type": "non_idempotent", "timeout_ms": 3000,
         "target_latency_ms": 500, "priority": 1, "service": "app", "max_attempts": 1, "public": False},
    ],
    "services": [{"name": "model", "engine": {"slots": 4, "kv_capacity": 100000}}, {"name": "app"}],
    "limits": {},
    "tenants": [{"name": "town", "api_keys": ["good-key"]}],
}


class Hosts:
    """A daemon on the store for each of its addresses in `platforms`; `more` is added to their settings."""

    def __init__(self, binaries, platforms, more=""):
        count = len(platforms)
        self.directory = tempfile.mkdtemp(prefix="yokepond-records-")
        ports = [localfleet.reserve_ports(3) for _ in range(count)]
        seeds = ", ".join(f"127.0.0.1:{entry[2]}" for entry in ports)
        self.callers = [f"127.0.0.1:{entry[0]}" for entry in ports]
        self.operators = [f"127.0.0.1:{entry[1]}" for entry in ports]
        self.binaries = binaries
        self.processes = [None] * count
        for index, (caller, operator, peer) in enumerate(ports):
            settings = os.path.join(self.directory, f"h{index}.ini")
            with open(settings, "w", encoding="utf-8") as file:
                file.write(f"[host]\nname = h{index}\ndata-centre = a\n[listen]\ncaller = 127.0.0.1:{caller}\n"
                           f"operator = 127.0.0.1:{operator}\npeer = 127.0.0.1:{peer}\n[peers]\nseeds = {seeds}\n"
                           f"[platform]\nform = records\naddress = {platforms[index]}\ntimeout-ms = 1000\n"
                           "[dispatch]\nwhole-pool-shards = yes\nplacement = soonest-first-token\nwindow = fixed\n"
                           "[retries]\nshare = 0.2\nslack = 50\n[stop]\nbalancer-lag-ms = 200\nkilled-after-s = 5\n"
                           f"[test]\nfatal-invariants = yes\n{more}")
            self.start(index)

    def start(self, index):
        """Starts a host, or starts it again; its log goes on."""
        settings = os.path.join(self.directory, f"h{index}.ini")
        with open(os.path.join(self.directory, f"h{index}.log"), "ab") as log:
            self.processes[index] = subprocess.Popen([os.path.join(self.binaries, "yokepondd"), "--config", settings], stdout=log, stderr=log)

    def ready(self, index):
        try:
            return request(self.operators[index], "GET", "/readyz", {}).status == 200
        except OSError:
            return False

    def wait_ready(self):
        for index in range(len(self.callers)):
            wait_until(lambda index=index: self.ready(index), f"host {index} to be ready")

    def send(self, index, method, path, name, key="good-key", **more):
        headers = {"Host": "site.example", "X-Request-Id": name, "X-Deadline-Ms": "5000", "X-Credential": key, **more}
        return request(self.callers[index], method, path, headers, "payload" if method == "POST" else None)

    def log(self, index):
        with open(os.path.join(self.directory, f"h{index}.log"), encoding="utf-8") as file:
            # The last line may not have been written whole yet.
            return [json.loads(line) for line in file if line.endswith("\n")]

    def stop(self):
        """Ends the processes; returns their exit codes."""
        for process in self.processes:
            process.terminate()
        return [process.wait(timeout=20) for process in self.processes]
