# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Stand-ins for a platform whose store holds the configuration and the endpoints (setting `form = records`), and daemons that use them.

A duty is a task that one host at a time does for all hosts, such as reporting usage; its calls carry a fence, which grows with each holder.
"""

import base64
import itertools
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
    """An HTTP server that ignores broken connections, because tests kill hosts in the middle of calls."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Server:
    """An HTTP server on a thread of its own. Subclasses handle each request in `respond(handler)`."""

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
    """The platform's store: rows, a version counter, and a long-polling feed of changes.

    Each write raises the counter; the protocol calls it `schema_version` in rows, and `since_revision` and `expected_revision` in calls.

    `down`: answers every call with 503.
    `hang`: while set, calls that arrive and feed calls that wait are left without a response for good, also when it is cleared.
    `delay_seconds`: delay of each response.
    `page_rows`: most rows of one answer of /rows-get; further pages begin at the key `source`.
    `answer_as`: changes an answer before it is sent; gets the path and the body as a dictionary of JSON texts, by the name of the field.
    `closing`: set at the end of a test; releases the calls that hang.
    """

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 0
        self.oldest_version = 0
        self.down = False
        self.hang = False
        self.delay_seconds = 0.0
        self.page_rows = None
        self.answer_as = None
        self.closing = threading.Event()
        super().__init__()

    def put(self, table, key, value):
        self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table, key, value):
        """Writes a row whose value is any bytes."""
        with self.lock:
            self.version += 1
            text = base64.b64encode(value).decode()
            self.rows[(table, key)] = {"table": table, "part": "", "key_file": key, "value": text, "schema_version": self.version}
            self.lock.notify_all()

    def put_raw(self, table, key, text):
        """Writes a row that is sent as @p text, whatever that is; VERSION stands for its version. Keys sort by @p key."""
        with self.lock:
            self.version += 1
            raw = text.replace(b"VERSION", b"%d" % self.version)
            self.rows[(table, key)] = {"table": table, "part": "", "key_file": key, "schema_version": self.version, "raw": raw}
            self.lock.notify_all()

    def remove(self, table, key):
        with self.lock:
            self.version += 1
            self.rows[(table, key)] = {"table": table, "part": "", "key_file": key, "deleted": True, "schema_version": self.version}
            self.lock.notify_all()

    def compact_history(self):
        """Drops the tombstones and answers feed calls from older versions with 410."""
        with self.lock:
            self.version += 1
            self.oldest_version = self.version
            self.rows = {key: row for key, row in self.rows.items() if not row.get("deleted")}
            self.lock.notify_all()

    def changes_since(self, table, since):
        found = [row for (owner, _), row in self.rows.items() if owner == table and row["schema_version"] > since]
        return sorted(found, key=lambda row: row["schema_version"])

    def respond(self, handler, is_rejected=lambda: False):
        time.sleep(self.delay_seconds)
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.hang:
            self.hang_until_closing(handler)
            return
        with self.lock:
            if self.down or is_rejected():
                send(handler, 503, {})
                return
            if url.path == "/rows-tx":
                self.transact(handler, json.loads(handler.body))
                return
            table = query["table"]
            if url.path == "/rows-get":
                rows = [row for row in self.changes_since(table, -1) if not row.get("deleted")]
                rows = sorted(rows, key=lambda row: row["key_file"].encode())
                rows = [row for row in rows if row["key_file"].encode() >= query.get("source", "").encode()]
                page = rows[:self.page_rows]
                self.send_json(handler, {"rows": page, "has_more": len(page) < len(rows)})
                return
            since = int(query["since_revision"])
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while not self.changes_since(table, since) and not self.down and not self.hang and not is_rejected() \
                    and since >= self.oldest_version and time.monotonic() < until:
                self.lock.wait(0.05)
            hangs = self.hang
        if hangs:
            self.hang_until_closing(handler)
            return
        with self.lock:
            if self.down or is_rejected():
                send(handler, 503, {})
                return
            if since < self.oldest_version:
                send(handler, 410, {})
                return
            self.send_json(handler, {"rows": self.changes_since(table, since)})

    def transact(self, handler, body):
        """Writes all rows if every expected row has the expected version; otherwise answers 412 and the current rows."""
        expected = [(row, self.rows.get((row["table"], row["key_file"]))) for row in body["expected_revision"]]
        current = [row for _, row in expected if row is not None]
        if any((row["schema_version"] if row else 0) != wanted["schema_version"] for wanted, row in expected):
            response = {"rows": current, "schema_version": self.version, "now_ms": int(time.monotonic() * 1000)}
            send(handler, 412, {"Content-Type": "application/json"}, json.dumps(response).encode())
            return
        self.version += 1
        for row in body["write"]:
            self.rows[(row["table"], row["key_file"])] = {**row, "schema_version": self.version}
        self.lock.notify_all()
        self.send_json(handler, {})

    def hang_until_closing(self, handler):
        self.closing.wait()
        handler.close_connection = True

    def send_json(self, handler, body):
        body.update({"schema_version": self.version, "now_ms": int(time.monotonic() * 1000)})
        fields = {name: json.dumps(value).encode() for name, value in body.items() if name != "rows"}
        if "rows" in body:
            fields["rows"] = b"[" + b",".join(row.get("raw") or json.dumps(row).encode() for row in body["rows"]) + b"]"
        if self.answer_as:
            self.answer_as(urlsplit(handler.path).path, fields)
        text = b"{" + b",".join(b'"%s":%s' % (name.encode(), value) for name, value in fields.items()) + b"}"
        send(handler, 200, {"Content-Type": "application/json"}, text)


class StoreAddress(Server):
    """A second listening address of the same Store object, so that a test can fail the store for one host only.

    `rejecting`: answers 503 at this address while the store serves its other addresses.
    `calls`: number of calls received at this address.
    """

    def __init__(self, store):
        self.store = store
        self.rejecting = False
        self.calls = 0
        super().__init__()

    def respond(self, handler):
        self.calls += 1
        self.store.respond(handler, lambda: self.rejecting)


class DutyReceiver(Server):
    """Receives the calls of duty holders: usage reports at /metering, and orders for the number of endpoints at other paths.

    `violations`: calls that the platform forbids, such as an older fence after a newer one, or two holders of one fence.
    `down`: answers every call with 503.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.down = False
        self.reports = {}  # counts by window id
        self.orders = []  # bodies of the orders
        self.holders = []  # holder named by each accepted call, in order
        self.fences = {}  # path -> fence -> first holder that used it
        self.violations = []
        super().__init__()

    def respond(self, handler):
        body = json.loads(handler.body)
        holder = handler.headers["X-Duty-Holder"]
        fence = int(handler.headers["X-Fencing-Token"])
        with self.lock:
            used = self.fences.setdefault(handler.path, {})
            if used and fence < max(used):
                self.violations.append(f"{handler.path}: fence {fence} of {holder} after {max(used)}")
            if used.setdefault(fence, holder) != holder:
                self.violations.append(f"{handler.path}: fence {fence} of {used[fence]} and {holder}")
            if self.down:
                send(handler, 503, {})
                return
            self.holders.append(holder)
            if handler.path == "/metering":
                if self.reports.setdefault(body["window_id"], body["counts"]) != body["counts"]:
                    self.violations.append(f"window {body['window_id']} reported twice: {body['counts']}")
            else:
                self.orders.append(body)
        send(handler, 200, {})

    def total(self, organisation):
        with self.lock:
            return sum(counts.get(organisation, 0) for counts in self.reports.values())


class Endpoint(Server):
    """An endpoint whose streams have five events, each of which names its software version.

    `version`: the software version, for its record too; None for a record that names none.
    `cut_after`: number of whole events of a new stream before the connection breaks inside the next event; resumed streams stay whole.
    `cut_every`: applies `cut_after` to one of so many new streams.
    `reject`: answers every request with 503 and does not run it, with `retry_after` as Retry-After header if that is set.
    `leaving`: adds the header Server-Leaving to every response, also to rejections.
    `unsigned`: leaves out the response signature.
    `event_pause`: seconds before each event of a stream.
    """

    def __init__(self, name, version="v1"):
        self.name = name
        self.version = version
        self.runs = []
        self.arrivals = []  # (X-Request-Id, monotonic time of arrival)
        self.cut_after = None
        self.cut_every = 1
        self.new_streams = itertools.count()
        self.reject = False
        self.retry_after = None
        self.leaving = False
        self.rejected_count = 0
        self.unsigned = False
        self.event_pause = 0.0
        super().__init__()

    def row(self, service, state="ready"):
        version = {} if self.version is None else {"version": self.version}
        return {"service": service, "address": self.address, "zone": "a", "slots": 4, "state": state, "sequence": 1, **version}

    def respond(self, handler):
        if handler.headers["X-Expect-Instance"] != self.name:
            send(handler, 421, {"X-Instance-Id": self.name})
            return
        advertised = {"Server-Leaving": "1"} if self.leaving else {}
        if self.reject:
            self.rejected_count += 1
            send(handler, 503, {"X-Not-Executed": "1", **advertised, **({"Retry-After": self.retry_after} if self.retry_after else {})})
            return
        headers = {name.lower(): value for name, value in handler.headers.items()}
        self.runs.append((handler.command, handler.path, headers, handler.body))
        self.arrivals.append((headers["x-request-id"], time.monotonic()))
        head = {"X-Request-Id": handler.headers["X-Request-Id"], "X-Response-Signature": "signed-by-" + self.name, **advertised}
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
        cut_after = self.cut_after
        cuts = cut_after is not None and first == 1 and next(self.new_streams) % self.cut_every == 0
        for number in range(first, 6):
            time.sleep(self.event_pause)
            event = f"id: {number}\ndata: token {number} of {self.version}\n\n".encode()
            if cuts and number > cut_after:
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


class PeerProxy:
    """A fault proxy with a route to each host's port for peers, so that a test can cut all hosts from each other.

    Callers, endpoints and the store do not go through it.
    """

    def __init__(self, program_directory, targets):
        self.control, *self.addresses = [f"127.0.0.1:{port}" for port in localfleet.reserve_ports(len(targets) + 1)]
        routes = [f"peer-{index}={address}={target}" for index, (address, target) in enumerate(zip(self.addresses, targets))]
        arguments = ["--control", self.control] + [part for route in routes for part in ("--route", route)]
        self.process = subprocess.Popen([os.path.join(program_directory, "yokepond-faultproxy"), *arguments], stdout=subprocess.DEVNULL)
        wait_until(lambda: request(self.control, "GET", "/").status == 200, "start of the fault proxy")

    def set_faults(self, **faults):
        """Replaces the faults of all routes; without arguments they work again."""
        for index in range(len(self.addresses)):
            response = request(self.control, "POST", f"/peer-{index}", body=json.dumps(faults))
            assert response.status == 200, response.body


class Hosts:
    """Starts one daemon for each address of the store in `store_addresses`; `extra_settings` is appended to the settings of each.

    `ips`: the address of each host for peers, from which it also connects to endpoints; without it all hosts have 127.0.0.1.
    `seeds`: the indices of the hosts that are seeds; without it all are.
    `stop_settings`: the section [stop].
    `proxied`: the hosts reach each other through `proxy`, a PeerProxy.
    """

    def __init__(self, program_directory, store_addresses, extra_settings="", ips=None, seeds=None, proxied=False,
                 stop_settings="balancer-lag-ms = 200\nkilled-after-s = 5\n"):
        count = len(store_addresses)
        self.ips = ips or ["127.0.0.1"] * count
        self.directory = tempfile.mkdtemp(prefix="yokepond-records-")
        ports = [localfleet.reserve_ports(3) for _ in range(count)]
        seed_indices = range(count) if seeds is None else seeds
        listening = [f"{ip}:{entry[2]}" for ip, entry in zip(self.ips, ports)]
        self.proxy = PeerProxy(program_directory, listening) if proxied else None
        advertised = self.proxy.addresses if proxied else listening
        seeds = ", ".join(advertised[index] for index in seed_indices)
        self.callers = [f"127.0.0.1:{entry[0]}" for entry in ports]
        self.operators = [f"127.0.0.1:{entry[1]}" for entry in ports]
        self.program_directory = program_directory
        self.processes = [None] * count
        for index, (caller, operator, peer) in enumerate(ports):
            settings = os.path.join(self.directory, f"h{index}.ini")
            with open(settings, "w", encoding="utf-8") as file:
                file.write(f"[host]\nname = h{index}\ndata-centre = a\n[listen]\ncaller = 127.0.0.1:{caller}\n"
                           f"operator = 127.0.0.1:{operator}\npeer = {self.ips[index]}:{peer}\n"
                           f"{self.source(ips, index)}[peers]\nseeds = {seeds}\nadvertised = {advertised[index]}\n"
                           f"[platform]\nform = records\naddress = {store_addresses[index]}\ntimeout-ms = 1000\n"
                           "[dispatch]\nwhole-pool-shards = yes\nplacement = soonest-first-token\nwindow = fixed\n"
                           f"[retries]\nshare = 0.2\nslack = 50\n[stop]\n{stop_settings}"
                           f"[test]\nfatal-invariants = yes\n{extra_settings}")
            self.start(index)

    @staticmethod
    def source(ips, index):
        return f"[endpoints]\nsource-address = {ips[index]}\n" if ips else ""

    def start(self, index):
        """Starts or restarts a host; a restarted host appends to its log."""
        settings = os.path.join(self.directory, f"h{index}.ini")
        with open(os.path.join(self.directory, f"h{index}.log"), "ab") as log:
            self.processes[index] = subprocess.Popen([os.path.join(self.program_directory, "yokepondd"), "--config", settings], stdout=log, stderr=log)

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
            # Skips the last line while it is only partly written.
            return [json.loads(line) for line in file if line.endswith("\n")]

    def stop(self):
        """Stops the processes with SIGTERM and returns their exit codes."""
        for process in self.processes:
            process.terminate()
        return [process.wait(timeout=20) for process in self.processes]
