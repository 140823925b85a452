# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Requests through a fleet of real processes: responses, errors, invalid input, disconnecting and slow callers, operator commands."""

import json
import socket
import subprocess

from fleet import Fleet, request, run_tests, wait_until


def raw(address, data, timeout=10):
    ip, port = address.split(":")
    with socket.create_connection((ip, int(port)), timeout=timeout) as connection:
        connection.sendall(data)
        received = b""
        try:
            while chunk := connection.recv(65536):
                received += chunk
        except OSError:
            pass
        return received.decode(errors="replace")


def test_path():
    with Fleet("--hosts", 3, "--engines", 3, "--services", 1) as fleet:
        first, second, third = fleet.hosts
        check_responses(fleet, first)
        check_errors(fleet, second)
        check_bad_input(fleet, third)
        check_caller_gone(fleet, first)
        check_slow_caller(fleet, first)
        check_operators(fleet, first, second)
        fleet.assert_no_violations()


def check_responses(fleet, host):
    plain = fleet.chat(host, "hello", "bulletin")
    assert plain.status == 200 and plain.outcome == "completed" and plain.headers["yokepond-request"], plain.body
    content = plain.json()["choices"][0]["message"]["content"]
    streamed = fleet.chat(host, "hello", "bulletin", stream=True)
    events = [line[6:] for line in streamed.body.splitlines() if line.startswith("data: ")]
    assert events[-1] == "[DONE]" and len(events) == 6, streamed.body
    assert "".join(json.loads(event)["choices"][0]["delta"]["content"] for event in events[:-1]) == content
    other = fleet.chat(host, "something else", "bulletin").json()["choices"][0]["message"]["content"]
    assert other != content
    models = request(host["caller"], "GET", "/v1/models", fleet.caller_headers()).json()
    assert [model["id"] for model in models["data"]] == [entry for entry in ["bulletin-8b"]]
    service = fleet.operation(host, fleet.ticket(host), "payload")
    assert service.status == 200 and service.json()["echo"] == "payload" and service.outcome == "completed"


def expect(response, status, error):
    assert (response.status, response.error, response.outcome) == (status, error, "not-run"), (response.status, response.headers, response.body)


def check_errors(fleet, host):
    chat = "/v1/chat/completions"
    good = json.dumps({"messages": [{"role": "user", "content": "x"}]})
    expect(request(host["caller"], "POST", chat, {}, good), 401, "unauthenticated")
    expect(request(host["caller"], "POST", chat, {"Authorization": "Bearer wrong"}, good), 401, "unauthenticated")
    expect(fleet.chat(host, "x", "bulletn"), 400, "unknown-class")
    expect(fleet.chat(host, "x", "issue"), 400, "invalid-request")
    expect(request(host["caller"], "POST", chat, fleet.caller_headers(), "{not json"), 400, "invalid-request")
    expect(request(host["caller"], "POST", chat, fleet.caller_headers(), '{"messages": 3}'), 400, "invalid-request")
    expect(request(host["caller"], "POST", "/v1/nothing", fleet.caller_headers(), good), 404, "not-found")
    expect(request(host["caller"], "POST", "/v1/services/warnings/do", fleet.caller_headers("issue"), "{}"), 400, "idempotency-key-required")
    expect(fleet.operation(host, "ykt1~h1~0~0~0~forged"), 400, "idempotency-key-invalid")
    wrong_model = json.dumps({"messages": [{"role": "user", "content": "x"}], "model": "other"})
    expect(request(host["caller"], "POST", chat, fleet.caller_headers(), wrong_model), 400, "invalid-request")


def check_bad_input(fleet, host):
    authorization = f"Authorization: Bearer {next(iter(fleet.data['callerKeys'].values()))}\r\n"
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{authorization}"
    oversize = raw(host["caller"], f"{head}Content-Length: 999999999\r\n\r\n".encode())
    assert "413" in oversize.splitlines()[0] and "request-too-large" in oversize and "not-run" in oversize, oversize
    chunk = "10000\r\n" + "x" * 0x10000 + "\r\n"
    endless = raw(host["caller"], (f"{head}Transfer-Encoding: chunked\r\n\r\n" + chunk * 80).encode())
    assert "413" in endless.splitlines()[0] and "request-too-large" in endless, endless[:300]
    large_header = raw(host["caller"], ("GET / HTTP/1.1\r\nHost: x\r\n" + "X-Header: " + "y" * 60000 + "\r\n\r\n").encode())
    assert " 4" in large_header.splitlines()[0], large_header[:300]
    body = json.dumps({"messages": [{"role": "user", "content": "x"}], "max_tokens": 1})
    one = f"{head}Content-Length: {len(body)}\r\n\r\n{body}"
    last = f"{head}Connection: close\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    pipelined = raw(host["caller"], (one + last).encode())
    assert pipelined.count("HTTP/1.1 200") == 2, pipelined
    nonsense = raw(host["caller"], b"\x00\x01\x02 nonsense\r\n\r\n")
    assert "200" not in nonsense[:20]
    assert fleet.chat(host, "still serving").status == 200


def check_caller_gone(fleet, host):
    body = json.dumps({"messages": [{"role": "user", "content": "long"}], "stream": True, "max_tokens": 100000})
    ip, port = host["caller"].split(":")
    connection = socket.create_connection((ip, int(port)))
    key = next(iter(fleet.data["callerKeys"].values()))
    connection.sendall(f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    assert connection.recv(4096)
    connection.close()

    def cancelled():
        states = [run["state"] for endpoint in fleet.endpoints("engine") for run in fleet.runs(endpoint)]
        return states.count("cancelled") == 1 and "running" not in states

    wait_until(cancelled, "cancellation of the run")
    wait_until(lambda: all(row["running"] == 0 for row in fleet.query("show endpoints")["rows"]), "release of the permit")


def check_slow_caller(fleet, host):
    """A caller that does not read blocks only its own stream, and the host limits its buffer for that stream."""
    body = json.dumps({"messages": [{"role": "user", "content": "slow"}], "stream": True, "max_tokens": 3000})
    key = next(iter(fleet.data["callerKeys"].values()))
    ip, port = host["caller"].split(":")
    slow = socket.socket()
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.connect((ip, int(port)))
    slow.sendall(f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    assert fleet.chat(host, "another", tokens=3).status == 200
    slow.close()


def check_operators(fleet, first, second):
    assert len(fleet.query("show hosts")["rows"]) == 3
    request_id = fleet.chat(first, "why").headers["yokepond-request"]
    steps = [row["step"] for row in fleet.query(f"why request {request_id}", second)["rows"]]
    assert steps[0] == "arrived" and steps[-1] == "ended", steps
    assert {row["name"] for row in fleet.query("show endpoints where pool = drafting")["rows"]} == {"e1", "e2", "e3"}
    assert request(first["operator"], "POST", "/query", {}, "show hosts").status == 401
    syntax = fleet.command("create teir x rank 4")
    assert syntax.status == 400 and "did you mean 'tier'?" in syntax.body
    accepted = fleet.command("create tier extra rank 9", second, Yokepond_Wait="yes", Yokepond_Reason="test")
    assert accepted.status == 200 and accepted.json()["behind"] == [], accepted.body
    assert fleet.query("show changes order by revision desc limit 1", first)["rows"][0]["reason"] == "test"
    stale = fleet.command("delete tier extra", Yokepond_If_Revision="1")
    assert stale.status == 409 and stale.json()["error"]["type"] == "conflict"
    check_tool(fleet, first)


def check_tool(fleet, host):
    tool = [f"{fleet.programs}/yokepond", "--host", host["operator"], "--key", fleet.data["operatorKey"]]
    run = lambda *words: subprocess.run([*tool, *words], capture_output=True, text=True, timeout=30)
    assert "drafting" in run("query", "show pools").stdout
    assert run("query", "show nothing").returncode == 1
    assert run("command", "drain endpoint e1", "--dry-run").returncode == 0
    assert run("command", "drain endpoint e99").returncode == 1
    assert subprocess.run([tool[0], "--host", host["operator"], "--key", "wrong", "query", "show pools"], capture_output=True, timeout=30).returncode == 4
    assert subprocess.run([tool[0], "--host", "127.0.0.1:1", "query", "show pools"], capture_output=True, timeout=30).returncode == 3
    assert run("query").returncode == 2


if __name__ == "__main__":
    run_tests(globals())
