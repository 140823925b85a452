# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Starts the deploy file's program as the hosts of a small deployment, before stand-ins of the platform's store, runners and clients."""

import base64
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def stop_on_signal(*_):
    raise RuntimeError("stopped by a signal")


# A run that takes too long ends the processes that it started.
signal.signal(signal.SIGTERM, stop_on_signal)


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Server:
    """An HTTP server on a thread of its own."""

    def __init__(self):
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def handle_any(self):
                self.body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                outer.respond(self)
                self.wfile.flush()

            do_GET = do_POST = handle_any

            def log_message(self, *_):
                pass

        self.http = QuietServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.http.server_address[1]}"
        threading.Thread(target=self.http.serve_forever, daemon=True).start()


def send(handler, status, headers, body=b""):
    handler.send_response(status)
    for name, value in headers.items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


class Store(Server):
    """The platform's store, as far as the hosts read it: /rows-get and /rows-feed (PROTOCOL.md, "The platform's metadata store")."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 0
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

    def since(self, table, version):
        found = [row for (owner, _), row in self.rows.items() if owner == table and row["schema_version"] > version]
        return sorted(found, key=lambda row: row["schema_version"])

    def respond(self, handler):
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        with self.lock:
            if url.path == "/rows-get":
                rows = sorted((row for row in self.since(query["table"], -1) if not row.get("deleted")), key=lambda row: row["key_file"])
                self.answer(handler, {"rows": rows, "has_more": False})
            elif url.path == "/rows-feed":
                until = time.monotonic() + int(query["wait_ms"]) / 1000
                while not self.since(query["table"], int(query["since_revision"])) and time.monotonic() < until:
                    self.lock.wait(max(0.001, until - time.monotonic()))
                self.answer(handler, {"rows": self.since(query["table"], int(query["since_revision"]))})
            else:
                send(handler, 503, {})

    def answer(self, handler, body):
        body.update({"schema_version": self.version, "now_ms": int(time.monotonic() * 1000)})
        send(handler, 200, {"Content-Type": "application/json"}, json.dumps(body).encode())


class Runner(Server):
    """A runner of a service: works on `slots` requests at once and queues a few more (PROTOCOL.md, "Runners")."""

    def __init__(self, service, name, slots, work_s, record, queue_length=24):
        self.service, self.name, self.slots, self.work_s, self.record = service, name, slots, work_s, record
        self.places = threading.Semaphore(slots)
        self.waiting = threading.Semaphore(slots + queue_length)
        self.lock = threading.Lock()
        self.ran = []  # (X-Request-Id, path)
        super().__init__()

    def row(self, state="ready", sequence=1):
        return {"service": self.service, "address": self.address, "zone": "zone-a", "version": "1", "slots": self.slots,
                "state": state, "cold_remaining_ms": 0, "sequence": sequence}

    def respond(self, handler):
        name = handler.headers.get("X-Request-Id", "")
        expected = handler.headers.get("X-Expect-Instance")
        if expected is not None and expected != self.name:
            send(handler, 421, {"X-Request-Id": name, "X-Instance-Id": self.name})
            return
        if not self.waiting.acquire(blocking=False):
            send(handler, 503, {"X-Request-Id": name, "X-Not-Executed": "1"})
            return
        try:
            with self.places:
                with self.lock:
                    self.ran.append((name, handler.path))
                self.record(f"run       {name} {handler.command} {handler.path} at {self.service} {self.name}")
                time.sleep(self.work_s)
        finally:
            self.waiting.release()
        body = f"{self.service} {self.name} answers {name}\n".encode() * 8
        send(handler, 200, {"X-Request-Id": name, "X-Response-Signature": f"{self.name}.{name}"}, body)


def ports(count):
    """Returns free ports below those that the system gives to outgoing connections. All are held until the last one is found."""
    sockets = []
    candidates = random.SystemRandom().sample(range(10_000, 32_000), 2_000)
    for port in candidates:
        if len(sockets) == count:
            break
        entry = socket.socket()
        try:
            entry.bind(("127.0.0.1", port))
            sockets.append(entry)
        except OSError:
            entry.close()
    chosen = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return chosen


def fill(template, fields):
    """Fills the deploy file's template (DEPLOY.md, "Settings of a process")."""

    def look(name, scope):
        for table in reversed(scope):
            value = table
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        return ",".join(str(entry) for entry in value) if isinstance(value, list) else str(value)

    def expand(part, scope, this=None, key=None):
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}\n?", re.S)
        while (match := section.search(part)) is not None:
            value = look(match.group(1), scope)
            if isinstance(value, dict):
                inner = "".join(expand(match.group(2), scope, entry, name) for name, entry in value.items())
            else:
                inner = expand(match.group(2), scope) if value else ""
            part = part[:match.start()] + inner + part[match.end():]
        part = part.replace("{{@}}", str(key)).replace("{{.}}", str(this))
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text(look(match.group(1), scope)), part)

    return expand(template, [fields])


BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_ratio": 0.2, "retry_slack": 54}


class Host:
    """One machine with the deploy file's role."""

    def __init__(self, deployment, name, address_ports, seeds):
        self.deployment, self.name = deployment, name
        caller, ready, peer, tunnel = address_ports
        self.caller, self.operator, self.peer = f"127.0.0.1:{caller}", f"127.0.0.1:{ready}", f"127.0.0.1:{peer}"
        role = deployment.role
        fields = {"node_name": name, "zone": "zone-a", "limits": {"cpu_quota": 0.25, "memory_mb": 260},
                  "listen": {"http": self.caller, "ready": self.operator, "control_plane": self.peer},
                  "internal_ports": {"0": tunnel, "1": tunnel}, "seeds": seeds, "bounds": BOUNDS, "zones": {"zone-a": "region-a"},
                  "platform": {"address": deployment.store.address}}
        fields.update(deployment.more_fields)
        self.settings = deployment.directory / f"{name}.ini"
        self.settings.write_text(fill((TOP / role["template"]).read_text(), fields), encoding="utf-8")
        self.command = role["run"].replace("/etc/yokepond/settings.toml", str(self.settings)).split()
        self.command[0] = str(TOP / self.command[0])
        self.log = deployment.directory / f"{name}.log"
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log, stderr=log, cwd=TOP)
        if "REVIEW_PIDS" in os.environ:
            with open(os.environ["REVIEW_PIDS"], "a", encoding="utf-8") as pids:
                pids.write(f"{self.process.pid}\n")
        self.deployment.record(f"start     {self.name} as process {self.process.pid}")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.deployment.record(f"SIGKILL   {self.name}")

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.operator, timeout=1)
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > until:
                raise RuntimeError(f"{self.name} is not ready after {seconds} s")
            time.sleep(0.005)


class Deployment:
    """The store and the hosts. `names` are the machines' names; the first `seeds` of them are the seeds."""

    def __init__(self, record, names, seeds=3, more_fields=None):
        self.record = record
        self.more_fields = more_fields or {}
        with open(TOP / "deploy" / "system.toml", "rb") as file:
            self.role = next(iter(tomllib.load(file)["roles"].values()))
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="yokepond-review-"))
        self.store = Store()
        chosen = ports(4 * len(names))
        address_ports = [chosen[4 * index:4 * index + 4] for index in range(len(names))]
        seed_addresses = [f"127.0.0.1:{entry[2]}" for entry in address_ports[:seeds]]
        self.hosts = {name: Host(self, name, entry, seed_addresses) for name, entry in zip(names, address_ports)}

    def start(self):
        for host in self.hosts.values():
            host.start()

    def wait_ready(self):
        for host in self.hosts.values():
            host.wait_ready()

    def stop(self):
        for host in self.hosts.values():
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


class Clients:
    """Clients that each send one request on a connection of its own and record its answer."""

    def __init__(self, record):
        self.record = record
        self.answers = {}  # X-Request-Id -> (status, headers, body); status 0 without a complete answer
        self.sent = {}  # X-Request-Id -> path
        self.lock = threading.Lock()
        self.count = 0
        self.threads = []

    def name(self, label):
        with self.lock:
            self.count += 1
            return f"{label}-{self.count}"

    def call(self, host, path, label, deadline_ms, headers=None):
        name = self.name(label)
        with self.lock:
            self.sent[name] = path
        self.record(f"send      {name} POST {path} to {host.name}")
        connection = http.client.HTTPConnection(host.caller, timeout=deadline_ms / 1000 + 0.5)
        try:
            connection.request("POST", path, body=b"body of " + name.encode(),
                               headers={"Host": "site.example", "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms), **(headers or {})})
            response = connection.getresponse()
            answer = (response.status, {key.lower(): value for key, value in response.getheaders()}, response.read())
        except (OSError, http.client.HTTPException) as error:
            answer = (0, {}, type(error).__name__.encode())
        finally:
            connection.close()
        with self.lock:
            self.answers[name] = answer
        self.record(f"answer    {name} {answer[0]} {answer[2][:60].decode(errors='replace').splitlines()[:1]}")
        return answer

    def start(self, *arguments, **named):
        thread = threading.Thread(target=self.call, args=arguments, kwargs=named, daemon=True)
        thread.start()
        self.threads.append(thread)
        return thread

    def join(self, seconds=15):
        until = time.monotonic() + seconds
        for thread in self.threads:
            thread.join(max(0.0, until - time.monotonic()))
