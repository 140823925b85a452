# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Starts a fleet of real processes for one test, sends it requests and injects faults."""

import argparse
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(TOP / "Utilities"))
import knownred  # noqa: E402
import localfleet  # noqa: E402


class Response:
    """The HTTP response to a request; status 0 if the connection broke before the response was complete."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    @property
    def outcome(self):
        return self.headers.get("yokepond-outcome", "")

    @property
    def error(self):
        try:
            return json.loads(self.body)["error"]["type"]
        except (ValueError, KeyError, TypeError):
            return ""

    def json(self):
        return json.loads(self.body)


def request(address, method, path, headers=None, body=None, timeout=30):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return Response(response.status, response.getheaders(), response.read().decode())
    except (OSError, http.client.HTTPException):
        return Response(0, [], "")
    finally:
        connection.close()


class Fleet:
    """A local fleet that runs while its context is entered; the arguments are those of `localfleet.sh up`."""

    def __init__(self, *arguments):
        options = parse_options()
        self.directory = tempfile.mkdtemp(prefix="yokepond-test-")
        self.failed = True
        self.programs = options.bin
        self.up_options = localfleet.parse(["up", "--dir", self.directory, "--bin", options.bin, *[str(entry) for entry in arguments]])

    def __enter__(self):
        try:
            localfleet.up(self.up_options)
        except BaseException:
            self.stop()
            raise
        self.data = json.loads((pathlib.Path(self.directory) / "fleet.json").read_text())
        self.hosts = self.data["hosts"]
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.show_logs()
        self.stop()

    def stop(self):
        localfleet.down(localfleet.parse(["down", "--dir", self.directory]))
        shutil.rmtree(self.directory, ignore_errors=True)

    def show_logs(self):
        """Prints the last 25 lines of each host's log."""
        for log in sorted(pathlib.Path(self.directory).glob("h*.err")):
            print(f"--- {log.name}\n" + "\n".join(log.read_text(errors="replace").splitlines()[-25:]), file=sys.stderr)

    def log(self, host):
        """Returns the log events of a host's daemon; skips lines that are not JSON."""
        lines = (pathlib.Path(self.directory) / f"{host['name']}.err").read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]

    def host(self, name):
        return next(host for host in self.hosts if host["name"] == name)

    def endpoints(self, kind):
        return [endpoint for endpoint in self.data["endpoints"] if endpoint["kind"] == kind]

    # --- requests of callers

    def caller_headers(self, request_class=None, organisation=None, **more):
        organisation = organisation or next(iter(self.data["callerKeys"]))
        headers = {"Authorization": f"Bearer {self.data['callerKeys'][organisation]}"}
        if request_class:
            headers["Yokepond-Class"] = request_class
        headers.update({name.replace("_", "-"): value for name, value in more.items()})
        return headers

    def chat(self, host, text, request_class=None, stream=False, tokens=5, timeout=30, **more):
        body = json.dumps({"messages": [{"role": "user", "content": text}], "stream": stream, "max_tokens": tokens})
        return request(host["caller"], "POST", "/v1/chat/completions", self.caller_headers(request_class, **more), body, timeout)

    def ticket(self, host):
        response = request(host["caller"], "POST", "/v1/tickets", self.caller_headers())
        return response.json()["ticket"]

    def operation(self, host, key, body="{}", request_class=None, timeout=30, **more):
        class_name = request_class or next(entry["name"] for entry in self.data["classes"] if not entry["repeatable"])
        pool = next(entry["pool"] for entry in self.data["classes"] if entry["name"] == class_name)
        headers = self.caller_headers(class_name, **more)
        headers["Idempotency-Key"] = key
        return request(host["caller"], "POST", f"/v1/services/{pool}/do", headers, body, timeout)

    # --- requests of operators

    def query(self, statement, host=None):
        headers = {"Authorization": f"Bearer {self.data['operatorKey']}"}
        return request((host or self.hosts[0])["operator"], "POST", "/query", headers, statement).json()

    def command(self, statement, host=None, **more):
        headers = {"Authorization": f"Bearer {self.data['operatorKey']}"}
        headers.update({name.replace("_", "-"): value for name, value in more.items()})
        return request((host or self.hosts[0])["operator"], "POST", "/command", headers, statement)

    def dump(self, host):
        return request(host["operator"], "GET", "/dump", {"Authorization": f"Bearer {self.data['operatorKey']}"}).json()

    def metric(self, host, name):
        text = request(host["operator"], "GET", "/metrics").body
        return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith(name + "{"))

    def ready(self, host):
        return request(host["operator"], "GET", "/readyz", timeout=5).status == 200

    # --- fault injection

    def set_faults(self, address, **faults):
        body = json.dumps({name.replace("_", "-"): value for name, value in faults.items()})
        response = request(address, "POST", "/faults", body=body)
        assert response.status == 200, response.body

    def set_route_faults(self, name, **faults):
        """Replaces the faults of a route of the fault proxy: faults that are not given end, and without arguments the route works again.

        `cut=True` closes the connections that are open now; it does not affect later ones.
        """
        body = json.dumps({key.replace("_", "-"): value for key, value in faults.items()})
        response = request(self.data["proxy"]["address"], "POST", f"/{name}", body=body)
        assert response.status == 200, response.body

    def runs(self, endpoint):
        return request(endpoint["address"], "GET", "/runs").json()

    def run_counts(self):
        """Returns the number of runs by idempotency key, over all services."""
        counts = {}
        for endpoint in self.endpoints("service"):
            for run in self.runs(endpoint):
                counts[run["key"]] = counts.get(run["key"], 0) + 1
        return counts

    def signal(self, host, number):
        os.kill(host["pid"], number)

    def kill(self, host):
        self.signal(host, signal.SIGKILL)
        wait_until(lambda: not localfleet.alive(host["pid"]), "exit of a killed host")

    def restart(self, host):
        process = localfleet.start([pathlib.Path(self.programs) / "yokepondd", "--config", host["settings"]], pathlib.Path(self.directory) / f"{host['name']}.err")
        host["pid"] = process.pid
        self.save()
        wait_until(lambda: self.ready(host), f"readiness of {host['name']}")

    def save(self):
        (pathlib.Path(self.directory) / "fleet.json").write_text(json.dumps(self.data))

    def wait_for_member_state(self, name, state, seconds=10, hosts=None):
        """Waits until all other hosts list the member in the given state; a member that is not listed counts as dead."""
        others = [host for host in hosts or self.hosts if host["name"] != name]

        def all_agree():
            for host in others:
                rows = {row["name"]: row["state"] for row in self.query("show hosts", host)["rows"]}
                if rows.get(name, "dead") != state:
                    return False
            return True

        wait_until(all_agree, f"{name} {state} everywhere", seconds)

    def assert_no_violations(self):
        for host in self.hosts:
            if localfleet.alive(host["pid"]):
                assert self.dump(host)["invariant-violations"] == 0, host["name"]


def wait_until(check, what, seconds=20):
    """Polls @p check until it returns true; fails with @p what after @p seconds."""
    end = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < end, f"{what} did not happen within {seconds} s"
        time.sleep(0.05)


def in_background(task, *arguments, **named):
    """Runs a call in a thread. Returns the thread and a list that holds the result after join()."""
    results = []
    thread = threading.Thread(target=lambda: results.append(task(*arguments, **named)))
    thread.start()
    return thread, results


def parse_options():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default=str(TOP / "build" / "bin"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=0)
    parser.add_argument("--bound", type=float, default=15)
    return parser.parse_args()


def run_tests(namespace):
    """Runs every function whose name begins with test_ and prints a line for each.

    A test that KNOWN-RED.txt lists as SCRIPT.NAME must fail an assertion: if it passes, the run fails, so that its line gets removed. One
    that is listed as failing sometimes may do either.
    """
    script = pathlib.Path(namespace["__file__"]).stem
    known_failures = knownred.read_list(TOP / "KNOWN-RED.txt")
    sometimes = knownred.read_list(TOP / "KNOWN-RED.txt", "sometimes")
    for name, test in list(namespace.items()):
        if name.startswith("test_") and callable(test):
            begin = time.monotonic()
            cause = known_failures.get(f"{script}.{name}")
            if f"{script}.{name}" in sometimes:
                run_test_that_fails_sometimes(name, test, sometimes[f"{script}.{name}"])
            elif cause is None:
                test()
                print(f"ok {name} ({time.monotonic() - begin:.1f} s)", flush=True)
            else:
                run_known_failure(name, test, cause)


def run_test_that_fails_sometimes(name, test, cause):
    try:
        test()
    except AssertionError as failure:
        print(f"known red, sometimes: {name} failed: {cause}; now: {failure}", flush=True)
        return
    print(f"known red, sometimes: {name} passed: {cause}", flush=True)


def run_known_failure(name, test, cause):
    try:
        test()
    except AssertionError as failure:
        print(f"known red: {name}: {cause}; now: {failure}", flush=True)
        return
    sys.exit(f"known red: {name} did not fail: remove its line from KNOWN-RED.txt")
