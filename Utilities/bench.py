# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Measures the data path of one host.

latency: sends the same load through the host and directly to the engine at the same time; the difference is the latency that the host adds.
events:  opens many streams through one host; measures the host's processor time per event and its memory.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import capacity  # noqa: E402
import localfleet  # noqa: E402


def load(fleet, name, rate, tokens, seconds, direct=False, organisations="protecao-civil:1, barragens:1"):
    directory = pathlib.Path(fleet.directory.name)
    scenario = directory / f"{name}.ini"
    text = capacity.SCENARIO.format(duration=int(seconds * 1000), rate=rate, tokens=tokens).replace("warm-up-ms = 0", "warm-up-ms = 2000")
    scenario.write_text(text)
    targets = dict(fleet.data)
    if direct:
        targets["hosts"] = [{"caller": entry["address"]} for entry in fleet.data["endpoints"] if entry["kind"] == "engine"]
    path = directory / f"{name}.json"
    path.write_text(json.dumps(targets))
    report = directory / f"{name}-report.json"
    command = [localfleet.TOP / "build/bin/yokepond-load", "--scenario", scenario, "--fleet", path, "--label", name, "--json", report, "--seed", "7" if direct else "8"]
    process = subprocess.Popen([str(entry) for entry in command], stdout=subprocess.PIPE, text=True)
    return process, report


def result(process, report):
    text = process.communicate()[0]
    print(text, end="")
    return json.loads(report.read_text())["classes"][0]


def latency():
    print("\nlatency: 200 requests/s through one host, 200/s directly to the same engine at the same time")
    options = ["--hosts", 1, "--engines", 1, "--services", 1, "--slots", 1000, "--engine-option=--decode-base-us=1000", "--engine-option=--decode-per-run-us=0",
               "--engine-option=--prefill-per-token-us=0"]
    with capacity.RunningFleet(*options) as fleet:
        runs = [load(fleet, "direct", 200, 4, 12, direct=True), load(fleet, "through", 200, 4, 12)]
        direct, through = [result(*run) for run in runs]
    for percentile in ("p50", "p99"):
        one, other = direct["first-token-ms"][percentile], through["first-token-ms"][percentile]
        print(f"first event {percentile}: direct {one:.2f} ms, through the host {other:.2f} ms, added {other - one:.2f} ms, ratio {other / one:.2f}")


def events():
    print("\nevents: 2,000 streams through one host, 20 events/s each")
    options = ["--hosts", 1, "--engines", 4, "--services", 1, "--slots", 600, "--engine-option=--decode-base-us=50000", "--engine-option=--decode-per-run-us=0",
               "--engine-option=--prefill-per-token-us=1"]
    with capacity.RunningFleet(*options) as fleet:
        host = fleet.hosts[0]
        megabytes_before = capacity.resident_megabytes(host["pid"])
        runs = [load(fleet, f"streams-{index}", 100, 600, 10) for index in range(4)]
        time.sleep(12)
        before, begin = capacity.metrics(host), time.monotonic()
        time.sleep(8)
        after, elapsed = capacity.metrics(host), time.monotonic() - begin
        megabytes_with_streams = capacity.resident_megabytes(host["pid"])
        for process, _ in runs:
            process.terminate()
            process.wait()
        time.sleep(5)
        megabytes_after = capacity.resident_megabytes(host["pid"])
    relayed = after["yokepond_events_relayed_total{}"] - before["yokepond_events_relayed_total{}"]
    data = 'yokepond_processor_seconds_total{role="data"}'
    used = after[data] - before[data]
    print(f"open streams {after['yokepond_open_calls{}']:.0f}, events/s {relayed / elapsed:.0f}, relay thread {used / elapsed * 100:.1f} % of a core, "
          f"{used / relayed * 1e6:.2f} us per event, so {relayed / used:.0f} events/s per core")
    print(f"resident memory: {megabytes_before:.1f} MB before, {megabytes_with_streams:.1f} MB with the streams, {megabytes_after:.1f} MB after them")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="latency,events")
    options = parser.parse_args()
    for name in options.only.split(","):
        {"latency": latency, "events": events}[name]()


if __name__ == "__main__":
    main()
