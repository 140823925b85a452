# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A planned stop waits for answers that are still on their way to callers, not only for runs.

Seen: a host that was stopped as planned said that it had drained, and closed two streams in the middle of their answers.
How it came about: the engines had ended both 0.3 s before; the host was small and busy, and had not sent the rest yet.
Cause: a call counted as open until its last bytes were handed to the server library, and the process ended 0.3 s after the last call,
whatever the library still held.
Proof: a caller that takes nothing for 1.5 s, and an answer larger than the connection's buffers: without the mend it is cut, and the log
says `drained`.
"""

import json
import signal
import socket
import time

from fleet import parse_bin, run_tests, wait_until
from recordsplatform import CONFIGURATION, Hosts, Runner, Store, send

BODY = b"0123456789abcdef" * 200_000  # 3.2 MB: more than the connection's buffers take


class LargeRunner(Runner):
    """Answers at once, with a body that a caller needs time to read."""

    def respond(self, handler):
        self.runs.append(handler.path)
        head = {"X-Request-Id": handler.headers["X-Request-Id"], "X-Response-Signature": "signed-by-" + self.name}
        send(handler, 200, head, BODY)


def slow_caller(address, name):
    """A connection that has sent a request and takes little at a time."""
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
    app = LargeRunner("i-a1")
    hosts = Hosts(parse_bin().bin, [store.address])
    try:
        store.put("op", "config", CONFIGURATION)
        store.put("servers", app.name, app.row("app"))
        hosts.wait_ready()
        wait_until(lambda: hosts.send(0, "POST", "/once/x", "first").status == 200, "the endpoint to be known")
        connection = slow_caller(hosts.callers[0], "slow")
        wait_until(lambda: len(app.runs) >= 2, "the run to end")
        hosts.processes[0].send_signal(signal.SIGTERM)
        # Longer than the balancer's lag and all that the host waits for after the last run.
        time.sleep(1.5)
        received, error = read_all(connection)
        head, _, body = received.partition(b"\r\n\r\n")
        assert error is None and body == BODY, (error, len(body), head)
        assert hosts.processes[0].wait(timeout=20) == 0
        stopped = [entry for entry in hosts.log(0) if entry["event"] == "stopped"]
        assert stopped and stopped[-1]["drained"], json.dumps(stopped)
    finally:
        store.ended.set()
        for process in hosts.processes:
            process.kill()


if __name__ == "__main__":
    run_tests(globals())
