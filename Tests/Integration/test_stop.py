# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A planned stop waits until callers have received their responses, not only until the runs have ended.

Guards against a host that reports `drained` and closes streams in the middle: a request counted as finished as soon as its last bytes
were handed to the HTTP server library, and the process exited 0.3 s after the last request, whatever the library had not sent yet.
The test uses a caller that reads nothing for 1.5 s and a response larger than the connection's buffers.
"""

import json
import signal
import socket
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store, send

BODY = b"0123456789abcdef" * 200_000  # 3.2 MB: more than the connection's buffers take


class LargeResponseEndpoint(Endpoint):
    """An endpoint whose responses are larger than the buffers of a connection."""

    def respond(self, handler):
        self.runs.append(handler.path)
        head = {"X-Request-Id": handler.headers["X-Request-Id"], "X-Response-Signature": "signed-by-" + self.name}
        send(handler, 200, head, BODY)


def slow_caller(address, name):
    """Sends a request over a connection with a small receive buffer and returns the connection."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    host, port = address.split(":")
    connection.connect((host, int(port)))
    connection.sendall(f"POST /once/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {name}\r\nX-Deadline-Ms: 5000\r\n"
                       "X-Credential: good-key\r\nContent-Length: 0\r\n\r\n".encode())
    return connection


def read_all(connection):
    received = b""
    while True:
        try:
            part = connection.recv(65536)
        except OSError as error:
            return received, error
        if not part:
            return received, None
        received += part


def test_stop():
    store = Store()
    app = LargeResponseEndpoint("i-a1")
    hosts = Hosts(parse_options().bin, [store.address])
    try:
        store.put("op", "config", CONFIGURATION)
        store.put("servers", app.name, app.row("app"))
        hosts.wait_ready()
        wait_until(lambda: hosts.send(0, "POST", "/once/x", "first").status == 200, "the endpoint to be usable")
        connection = slow_caller(hosts.callers[0], "slow")
        wait_until(lambda: len(app.runs) >= 2, "the run to end")
        hosts.processes[0].send_signal(signal.SIGTERM)
        # Longer than the balancer lag plus all waits of the host after the last run.
        time.sleep(1.5)
        received, error = read_all(connection)
        head, _, body = received.partition(b"\r\n\r\n")
        assert error is None and body == BODY, (error, len(body), head)
        assert hosts.processes[0].wait(timeout=20) == 0
        stopped = [entry for entry in hosts.log(0) if entry["event"] == "stopped"]
        assert stopped and stopped[-1]["drained"], json.dumps(stopped)
    finally:
        store.closing.set()
        for process in hosts.processes:
            process.kill()


if __name__ == "__main__":
    run_tests(globals())
