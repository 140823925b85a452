# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Starts and stops a fleet of real processes on this machine, for users, tests and measurements.

Writes fleet.json into the given directory; docs/LOCALFLEET.md describes its format.
"""

import argparse
import fcntl
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

TOP = pathlib.Path(__file__).resolve().parent.parent

SITES = {
    "cheia": {
        "dataCentres": ["lisbon-a", "lisbon-b", "lisbon-c"],
        "tiers": [("alert", 1), ("desk", 2), ("routine", 3)],
        "organisations": [("protecao-civil", 4, "bulletin"), ("barragens", 2, "draft"), ("juntas", 1, "gauge")],
        "enginePool": "drafting",
        "servicePool": "warnings",
        "model": "bulletin-8b",
        "classes": [
            ("bulletin", "alert", "drafting", "yes", "first-token 1400ms token-gap 37ms deadline 20s"),
            ("draft", "desk", "drafting", "yes", "first-token 3s token-gap 60ms deadline 60s"),
            ("gauge", "routine", "drafting", "yes", "first-token 10s token-gap 200ms deadline 300s starvation-bound 30s"),
            ("issue", "alert", "warnings", "no", "first-token 1s deadline 15s"),
        ],
    },
    "bancolab": {
        "dataCentres": ["cordoba-1", "cordoba-2", "cordoba-3", "cordoba-4"],
        "tiers": [("release", 1), ("session", 2), ("idle", 3)],
        "organisations": [("banco", 4, "triage"), ("tienda", 1, "triage"), ("correo", 1, "report")],
        "enginePool": "triage",
        "servicePool": "booking",
        "model": "triage-13b",
        "classes": [
            ("triage", "release", "triage", "yes", "first-token 1400ms token-gap 37ms deadline 30s"),
            ("report", "session", "triage", "yes", "first-token 4s token-gap 80ms deadline 120s"),
            ("digest", "idle", "triage", "yes", "first-token 15s token-gap 300ms deadline 600s starvation-bound 60s"),
            ("reserve", "release", "booking", "no", "first-token 1s deadline 15s"),
            ("rebook", "idle", "booking", "no", "first-token 5s deadline 60s"),
        ],
    },
}

OPERATOR_KEY = "operator-key-for-tests"
TICKET_SECRET = "ticket-secret-for-tests-only"

# Below the range that Linux uses for outgoing connections (ip_local_port_range).
FIRST_PORT, LAST_PORT = 15000, 32000
PORT_LOCKS = []  # lock files of the reserved ports, kept open until this process exits


def reserve_ports(count):
    """Reserves ports for this process and returns them.

    Until a host listens on a port, and while it restarts, another fleet or an outgoing connection could take the port. A lock file keeps
    other fleets from it; outgoing connections use ports outside the range.
    """
    return [reserve_port() for _ in range(count)]


def reserve_port():
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        locks = os.path.join(tempfile.gettempdir(), "yokepond-ports")
        os.makedirs(locks, exist_ok=True)
        lock = open(os.path.join(locks, str(port)), "w", encoding="utf-8")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
        except OSError:
            lock.close()
            continue
        PORT_LOCKS.append(lock)
        return port


def call(address, path, body=None, headers=None, timeout=10):
    """Sends a POST request if there is a body, otherwise a GET request; returns status and body, also of an error response."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(f"http://{address}{path}", data=data, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def wait_until(check, what, seconds=20):
    """Polls @p check until it returns true; exits with an error that names @p what after @p seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if check():
                return
        except (OSError, ValueError):
            pass
        time.sleep(0.05)
    raise SystemExit(f"localfleet: {what} did not happen within {seconds} s")


def start(arguments, log):
    with open(log, "ab") as stream:
        return subprocess.Popen([str(entry) for entry in arguments], stdout=stream, stderr=stream, stdin=subprocess.DEVNULL, start_new_session=True)


def daemon_settings(name, data_centre, host, seeds, platform, options):
    membership = f"[membership]\nperiod-ms = {options.period_ms}\nprobe-timeout-ms = {options.period_ms * 3 // 8}\n"
    return f"""[host]
name = {name}
data-centre = {data_centre}
[listen]
caller = {host["caller"]}
operator = {host["operator"]}
peer = {host["peerListen"]}
[peers]
advertised = {host["peer"]}
seeds = {", ".join(seeds)}
[platform]
address = {platform}
poll-ms = {options.poll_ms}
[tickets]
secret = {TICKET_SECRET}
[stop]
balancer-lag-ms = {options.balancer_lag_ms}
[limits]
connections = 20000
[test]
fatal-invariants = yes
{membership}
[operator admin]
key-sha256 = {hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()}
right = command
"""


def configuration(site, endpoints, extra_organisations):
    lines = [f"create tier {name} rank {rank}" for name, rank in site["tiers"]]
    lines.append(f"create pool {site['enginePool']} kind engine model {site['model']}")
    lines.append(f"create pool {site['servicePool']} kind service")
    for name, tier, pool, repeatable, parameters in site["classes"]:
        lines.append(f"create class {name} tier {tier} pool {pool} repeatable {repeatable} {parameters}")
    for name, weight, default in site["organisations"]:
        lines.append(f"create organisation {name} key key-of-{name} weight {weight} default-class {default}")
    default_class = site["organisations"][0][2]
    lines += [f"create organisation extra-{index} key key-of-extra-{index} default-class {default_class}" for index in range(extra_organisations)]
    for entry in endpoints:
        lines.append(
            f"create endpoint {entry['name']} pool {entry['pool']} address {entry['route']} data-centre {entry['dataCentre']} "
            f"slots {entry['slots']} checks-orders {'yes' if entry.get('checks') else 'no'}"
        )
    return "\n".join(lines) + "\n"


def listens(address):
    """Returns whether @p address accepts connections."""
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=1):
            return True
    except OSError:
        return False


def up(options):
    site = SITES[options.site]
    directory = pathlib.Path(options.dir)
    directory.mkdir(parents=True, exist_ok=True)
    programs = pathlib.Path(options.bin)
    proxied = options.engines + options.services + 2 * options.hosts + 1 if options.proxy else 0
    ports = iter(reserve_ports(1 + options.engines + options.services + 3 * options.hosts + proxied))
    address = lambda: f"127.0.0.1:{next(ports)}"
    data_centres = site["dataCentres"]
    fleet = {
        "site": options.site,
        "hosts": [],
        "endpoints": [],
        "platform": {},
        "callerKeys": {name: f"key-of-{name}" for name, _, _ in site["organisations"]},
        "operatorKey": OPERATOR_KEY,
        "classes": [{"name": name, "tier": tier, "pool": pool, "repeatable": repeatable == "yes"} for name, tier, pool, repeatable, _ in site["classes"]],
    }

    routes = []

    def through_proxy(name, target):
        """Returns the address to use in place of target: a new route of the fault proxy with --proxy, otherwise target itself."""
        if not options.proxy:
            return target
        listen_address = address()
        routes.append(f"{name}={listen_address}={target}")
        return listen_address

    def save():
        (directory / "fleet.json").write_text(json.dumps(fleet, indent=1))

    platform = address()
    process = start([programs / "yokepond-standin-platform", "--listen", platform, "--name", "platform"], directory / "platform.err")
    fleet["platform"] = {"address": platform, "pid": process.pid}
    save()
    for index in range(options.engines):
        name, listen_address = f"e{index + 1}", address()
        process = start(
            [programs / "yokepond-standin-engine", "--listen", listen_address, "--name", name, "--seed", options.seed + index, "--speed", options.speed,
             "--slots", options.slots, "--run-log", directory / f"{name}.log"] + options.engine_option,
            directory / f"{name}.err",
        )
        fleet["endpoints"].append({"name": name, "kind": "engine", "pool": site["enginePool"], "address": listen_address, "pid": process.pid,
                                   "route": through_proxy(name, listen_address),
                                   "dataCentre": data_centres[index % len(data_centres)], "slots": options.slots})
        save()
    for index in range(options.services):
        name, listen_address = f"s{index + 1}", address()
        checks = index % 2 == 1
        arguments = [programs / "yokepond-standin-service", "--listen", listen_address, "--name", name, "--run-log", directory / f"{name}.log"]
        process = start(arguments + (["--checks-orders"] if checks else []), directory / f"{name}.err")
        fleet["endpoints"].append({"name": name, "kind": "service", "pool": site["servicePool"], "address": listen_address, "pid": process.pid,
                                   "route": through_proxy(name, listen_address),
                                   "dataCentre": data_centres[index % len(data_centres)], "slots": 32, "checks": checks})
        save()
    for index in range(options.hosts):
        name, listen = f"h{index + 1}", address()
        host = {"name": name, "dataCentre": data_centres[index % len(data_centres)], "caller": address(), "operator": address(), "peerListen": listen}
        host["peer"] = through_proxy(f"peer-{name}", listen)
        host["store"] = through_proxy(f"store-{name}", platform)
        fleet["hosts"].append(host)
    if options.proxy:
        control = address()
        arguments = [programs / "yokepond-faultproxy", "--control", control]
        process = start(arguments + [part for route in routes for part in ("--route", route)], directory / "proxy.err")
        fleet["proxy"] = {"address": control, "pid": process.pid}
        save()
        wait_until(lambda: call(control, "/")[0] == 200, "start of the fault proxy")
    seeds = [host["peer"] for host in fleet["hosts"][:3]]
    for host in fleet["hosts"]:
        settings = directory / f"{host['name']}.ini"
        settings.write_text(daemon_settings(host["name"], host["dataCentre"], host, [seed for seed in seeds if seed != host["peer"]], host["store"], options))
        host["pid"] = start([programs / "yokepondd", "--config", settings], directory / f"{host['name']}.err").pid
        host["settings"] = str(settings)
        save()
    wait_until(lambda: call(platform, "/counts")[0] == 200, "start of the platform")
    # Waits for the endpoints: after failed runs, hosts would send an endpoint one run at a time until it succeeds again.
    for endpoint in fleet["endpoints"]:
        wait_until(lambda endpoint=endpoint: listens(endpoint["address"]), f"start of {endpoint['name']}")
    platform_hosts = [{"name": host["name"], "address": host["peer"], "role": "router", "state": "live"} for host in fleet["hosts"]]
    call(platform, "/hosts", json.dumps(platform_hosts))
    operator_address = fleet["hosts"][0]["operator"]
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}", "Yokepond-Reason": "localfleet"}
    wait_until(lambda: call(operator_address, "/readyz")[0] == 200, "readiness of the first host")
    status, response = call(operator_address, "/command", configuration(site, fleet["endpoints"], options.organisations), headers)
    if status != 200:
        raise SystemExit(f"localfleet: the configuration was rejected: {response}")
    revision = json.loads(response)["revision"]
    for host in fleet["hosts"]:
        wait_until(lambda: f"yokepond_configuration_revision{{}} {revision}" in call(host["operator"], "/metrics")[1], f"application of the configuration at {host['name']}")

    def members_agree():
        responses = [json.loads(call(host["operator"], "/query", "show hosts where state = alive", headers)[1]) for host in fleet["hosts"]]
        return all(len(response["rows"]) == options.hosts for response in responses)

    wait_until(members_agree, "agreement of the hosts on the members", 60)


def alive(pid):
    """Returns whether the process runs; reaps it if it is an exited child."""
    try:
        os.waitpid(pid, os.WNOHANG)
    except ChildProcessError:
        pass
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    state = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] if pathlib.Path(f"/proc/{pid}/stat").exists() else "X"
    return state not in ("Z", "X")


def down(options):
    path = pathlib.Path(options.dir) / "fleet.json"
    if not path.exists():
        return
    fleet = json.loads(path.read_text())
    others = [fleet["platform"], fleet.get("proxy", {})]
    pids = [entry["pid"] for entry in fleet["hosts"] + fleet["endpoints"] + others if entry.get("pid")]
    for pid in pids:
        if alive(pid):
            # A process paused by SIGSTOP handles SIGTERM only after SIGCONT.
            os.kill(pid, signal.SIGTERM)
            os.kill(pid, signal.SIGCONT)
    end = time.monotonic() + 2
    while any(alive(pid) for pid in pids) and time.monotonic() < end:
        time.sleep(0.02)
    for pid in pids:
        if alive(pid):
            os.kill(pid, signal.SIGKILL)
    path.unlink()


def parse(arguments):
    parser = argparse.ArgumentParser(prog="localfleet.sh", description="Starts and stops a fleet on this machine.")
    verbs = parser.add_subparsers(dest="verb", required=True)
    starting = verbs.add_parser("up", help="start a fleet")
    starting.add_argument("--dir", required=True, help="directory for settings, logs and fleet.json")
    starting.add_argument("--hosts", type=int, default=3)
    starting.add_argument("--engines", type=int, default=4)
    starting.add_argument("--services", type=int, default=1)
    starting.add_argument("--site", choices=sorted(SITES), default="cheia")
    starting.add_argument("--bin", default=str(TOP / "build" / "bin"), help="directory of the programs")
    starting.add_argument("--seed", type=int, default=1)
    starting.add_argument("--speed", type=float, default=1.0, help="speed of the engines relative to real time")
    starting.add_argument("--slots", type=int, default=8, help="concurrency limit of each engine")
    starting.add_argument("--organisations", type=int, default=0, help="number of organisations in addition to those of the site")
    starting.add_argument("--poll-ms", type=int, default=200)
    starting.add_argument("--period-ms", type=int, default=400, help="period of the membership protocol in milliseconds")
    starting.add_argument("--balancer-lag-ms", type=int, default=300)
    starting.add_argument("--proxy", action="store_true", help="put the fault proxy between hosts, endpoints and the platform")
    starting.add_argument("--engine-option", action="append", default=[], help="option passed to each engine")
    ending = verbs.add_parser("down", help="stop a fleet")
    ending.add_argument("--dir", required=True)
    return parser.parse_args(arguments)


def main():
    options = parse(sys.argv[1:])
    if options.verb == "down":
        down(options)
        return
    try:
        up(options)
    except BaseException:
        down(options)
        raise


if __name__ == "__main__":
    main()
