# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A runner that is added has an id whose 32-bit hash another runner's id has too: a foreign service runs that one's requests.

See claim.txt. TROUBLE=0 adds a runner whose id differs in the last digit.
"""
import asyncio
import collections
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from fleet2 import Deployment, Runner, configuration, request, route, run_case  # noqa: E402

HOSTS = 3
OWN_ID = "i-e428bd29bf"  # the one runner of the zone's inspect-api
ADDED_ID, OTHER_ID = "i-244b6e9b2d", "i-244b6e9b2e"  # the first meets OWN_ID
BEFORE_S, AFTER_S, PAUSE_S = 5.0, 10.0, 0.02
APPLIED_S = 2.0  # config_apply_ms: the time for a change to be in force


async def play(trouble, record):
    deployment = Deployment(HOSTS)
    outcomes = collections.Counter()
    broken = []
    runners = {}

    async def add(name, service, ip):
        runner = Runner(name, service, ip, slots=6, work=0.03)
        await runner.start()
        runners[name] = runner
        deployment.store.put("servers", name, runner.entry())
        record(f"runner {name} of {service} is in the store")

    async def call(number, path, service):
        name = f"{number:08x}"
        headers = {"X-Request-Id": name, "X-Deadline-Ms": "1500", "X-Credential": "key-1"}
        try:
            answer = request(deployment.addresses[number % HOSTS], deployment.http, "POST", path, headers, b"x" * 600)
            status, answered, _ = await asyncio.wait_for(answer, 2)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, answered = type(error).__name__, {}
        by = [runner for runner in runners.values() if any(entry[1] == name for entry in runner.ran)]
        signature = answered.get("x-response-signature", "none")
        ran = ", ".join(f"{runner.name} of {runner.service}" for runner in by) or "none"
        record(f"{name} {path} for {service}: {status}, signature {signature}; run by {ran}")
        foreign = any(runner.service != service for runner in by)
        outcomes[(service, status, "foreign" if foreign else "own")] += 1
        if foreign:
            broken.append(name)

    try:
        await deployment.start_store()
        await add(OWN_ID, "inspect-api", "127.31.9.1")
        await add("i-7f3a91c2aa", "vision-llm", "127.31.9.2")
        services = [{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}
                    for name in ("inspect-api", "vision-llm")]
        routes = [route("photo-status", "/pule252/", "inspect-api"), route("caption", "/puxa403/", "vision-llm")]
        deployment.store.put("op", "config", configuration(1, routes, services, [{"name": "t1", "api_keys": ["key-1"]}]))
        for index in range(HOSTS):
            deployment.start(index)
        if not await deployment.wait_ready():
            record("the hosts did not become ready")
            return 2
        await asyncio.sleep(4)  # the machines are in touch, and the core is stable
        number = 0
        for seconds in (BEFORE_S, AFTER_S):
            if seconds == AFTER_S:
                await add(ADDED_ID if trouble else OTHER_ID, "vision-llm", "127.31.9.3")
                await asyncio.sleep(APPLIED_S)
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                number += 1
                path, service = (("/pule252/2f", "inspect-api"), ("/puxa403/2f", "vision-llm"))[number % 2]
                await call(number, path, service)
                await asyncio.sleep(PAUSE_S)
        record(f"service asked for, answer and who ran it: {dict(outcomes)}")
        record(f"requests that a foreign service ran: {len(broken)} of {number}")
        return 1 if broken else 0
    finally:
        deployment.close()


run_case(HERE, "ROUTE", play)
