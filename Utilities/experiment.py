# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Runs one scenario under several policies, with the same arrivals and a new fleet each time, and prints the reports.

experiment.py --scenario Utilities/scenarios/storm-front.ini --site cheia --hosts 8 --engines 36 --factors 1,3 --policies tiered,fifo
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import localfleet  # noqa: E402

# Each policy is a set of settings; settings that it does not name keep their defaults.
POLICIES = {
    "default": {},
    "fifo": {"order": "fifo", "placement": "round-robin", "window": "fixed", "eject-slow": "no", "hopeless-shedding": "no"},
    "fifo-order": {"order": "fifo"},
    "round-robin": {"placement": "round-robin"},
    "least-loaded": {"placement": "least-loaded"},
    "fixed-window": {"window": "fixed"},
    "no-ejection": {"eject-slow": "no"},
    "no-hopeless": {"hopeless-shedding": "no"},
}


def fleet_metric(fleet, name):
    total = 0.0
    for host in fleet["hosts"]:
        text = localfleet.call(host["operator"], "/metrics")[1]
        total += sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith(name))
    return total


def run(options, policy, factor, directory):
    programs = pathlib.Path(options.bin)
    arguments = ["up", "--dir", directory, "--bin", options.bin, "--site", options.site, "--hosts", str(options.hosts), "--engines", str(options.engines)]
    arguments += ["--services", "2", "--seed", str(options.seed)]
    localfleet.up(localfleet.parse(arguments))
    try:
        fleet = json.loads((pathlib.Path(directory) / "fleet.json").read_text())
        statements = "\n".join(f"create setting {name} value {value}" for name, value in POLICIES[policy].items())
        if statements:
            headers = {"Authorization": f"Bearer {fleet['operatorKey']}", "Yokepond-Wait": "yes"}
            status, response = localfleet.call(fleet["hosts"][0]["operator"], "/command", statements, headers)
            assert status == 200, response
        bytes_before = fleet_metric(fleet, 'yokepond_peer_bytes_total{direction="sent"}')
        report = pathlib.Path(directory) / "report.json"
        command = [programs / "yokepond-load", "--scenario", options.scenario, "--fleet", pathlib.Path(directory) / "fleet.json", "--seed", str(options.seed)]
        command += ["--factor", str(factor), "--label", policy, "--json", report]
        if options.plots:
            command += ["--svg", pathlib.Path(options.plots) / f"{pathlib.Path(options.scenario).stem}-{policy}-{factor}.svg"]
        subprocess.run([str(entry) for entry in command], check=True)
        summary = json.loads(report.read_text())
        offered = sum(entry["offered"] for entry in summary["classes"])
        summary["peer-bytes-per-request"] = (fleet_metric(fleet, 'yokepond_peer_bytes_total{direction="sent"}') - bytes_before) / max(1, offered)
        summary["violations"] = fleet_metric(fleet, "yokepond_invariant_violations_total")
        summary["ejections-and-retries"] = fleet_metric(fleet, "yokepond_retries_total")
        print(f"peer bytes a request {summary['peer-bytes-per-request']:.0f}, retries {summary['ejections-and-retries']:.0f}, "
              f"invariant violations {summary['violations']:.0f}\n", flush=True)
        return summary
    finally:
        localfleet.down(localfleet.parse(["down", "--dir", directory]))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", required=True)
    parser.add_argument("--site", default="cheia")
    parser.add_argument("--hosts", type=int, default=8)
    parser.add_argument("--engines", type=int, default=36)
    parser.add_argument("--factors", default="1")
    parser.add_argument("--policies", default="default,fifo")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--bin", default=str(localfleet.TOP / "build" / "bin"))
    parser.add_argument("--json", help="file for all figures")
    parser.add_argument("--plots", help="directory for SVG plots")
    options = parser.parse_args()
    results = []
    for factor in options.factors.split(","):
        for policy in options.policies.split(","):
            with tempfile.TemporaryDirectory() as directory:
                results.append(run(options, policy, float(factor), directory))
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
