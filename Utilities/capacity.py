# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Measures how the cost of a daemon grows with the number of hosts, requests, endpoints, organisations, streams and changes.

Processor time comes from the daemon's counters per thread, memory from the resident size, bytes from the counters of the peer
connections. Each figure is printed with its points, the fitted line and the standard error of the slope.
"""

import argparse
import json
import math
import pathlib
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import localfleet  # noqa: E402

SETTLE_SECONDS = 4  # wait after the start of a fleet before a measurement
WINDOW_SECONDS = 8  # duration of a measurement
MAX_MEMORY_SHARE = 0.5  # share of the machine's memory above which the sweep over fleet sizes fails


def memory_used_share():
    fields = dict(line.split(":") for line in pathlib.Path("/proc/meminfo").read_text().splitlines())
    kilobytes = lambda name: int(fields[name].split()[0])
    return 1 - kilobytes("MemAvailable") / kilobytes("MemTotal")


def resident_megabytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def metrics(host):
    values = {}
    for line in localfleet.call(host["operator"], "/metrics")[1].splitlines():
        name, value = line.rsplit(" ", 1)
        values[name] = float(value)
    return values


def fit(points):
    """Fits a line to (x, y) points by least squares; returns intercept, slope and the standard error of the slope."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variation = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variation
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    error = math.sqrt(residual / (count - 2) / variation) if count > 2 else float("nan")
    return {"intercept": intercept, "slope": slope, "error": error}


class RunningFleet:
    """A local fleet that runs while its context is entered; each point of a sweep has its own."""

    def __init__(self, *arguments):
        self.directory = tempfile.TemporaryDirectory()
        self.options = localfleet.parse(["up", "--dir", self.directory.name, *[str(entry) for entry in arguments]])

    def __enter__(self):
        localfleet.up(self.options)
        self.data = json.loads((pathlib.Path(self.directory.name) / "fleet.json").read_text())
        self.hosts = self.data["hosts"]
        return self

    def __exit__(self, *_):
        localfleet.down(localfleet.parse(["down", "--dir", self.directory.name]))
        self.directory.cleanup()

    def command(self, text):
        headers = {"Authorization": f"Bearer {self.data['operatorKey']}", "Yokepond-Wait": "yes"}
        status, response = localfleet.call(self.hosts[0]["operator"], "/command", text, headers, 60)
        assert status == 200, response
        return json.loads(response)

    def measure(self, seconds):
        """Measures for some seconds; returns the means over the hosts: rates of the counters, and the resident size at the end."""
        before = [metrics(host) for host in self.hosts]
        begin = time.monotonic()
        time.sleep(seconds)
        after = [metrics(host) for host in self.hosts]
        elapsed = time.monotonic() - begin
        count = len(self.hosts)

        def rate(name):
            return sum(late.get(name, 0) - early.get(name, 0) for early, late in zip(before, after)) / elapsed / count

        core = {role: rate(f'yokepond_processor_seconds_total{{role="{role}"}}') * 100 for role in ("decisions", "peers", "data")}
        return {
            "decisions-percent": core["decisions"],
            "peers-percent": core["peers"],
            "control-percent": core["decisions"] + core["peers"],
            "data-percent": core["data"],
            "sent-bytes": rate('yokepond_peer_bytes_total{direction="sent"}'),
            "received-bytes": rate('yokepond_peer_bytes_total{direction="received"}'),
            "store-reads": rate('yokepond_store_requests_total{kind="read"}'),
            "store-writes": rate('yokepond_store_requests_total{kind="write"}'),
            "resident-mb": sum(resident_megabytes(host["pid"]) for host in self.hosts) / count,
        }


def sweep_hosts(sizes=(4, 8, 16, 32, 64)):
    rows = []
    for size in sizes:
        with RunningFleet("--hosts", size, "--engines", 1, "--services", 1, "--poll-ms", 500) as fleet:
            # The gossip about the starts goes on for a time that grows with the fleet.
            time.sleep(SETTLE_SECONDS + size / 2)
            rows.append({"x": size, **fleet.measure(WINDOW_SECONDS)})
            assert memory_used_share() < MAX_MEMORY_SHARE
    return {"of": "hosts in the fleet, idle", "rows": rows, "fits": ["control-percent", "sent-bytes", "resident-mb", "store-reads"]}


SCENARIO = """[run]
name = capacity
duration-ms = {duration}
warm-up-ms = 0
drain-ms = 60000
[class bulletin]
rate = {rate}
mean-tokens = {tokens}
prompt-bytes = 400
prefix-bytes = 2048
prefixes = 100
organisations = protecao-civil:1, barragens:1, juntas:1
"""


def start_load(fleet, rate, tokens, seconds):
    scenario = pathlib.Path(fleet.directory.name) / "load.ini"
    scenario.write_text(SCENARIO.format(duration=int(seconds * 1000), rate=rate, tokens=tokens))
    command = [localfleet.TOP / "build/bin/yokepond-load", "--scenario", scenario, "--fleet", pathlib.Path(fleet.directory.name) / "fleet.json"]
    return subprocess.Popen([str(entry) for entry in command], stdout=subprocess.PIPE, text=True)


def sweep_requests(rates=(0, 50, 100, 200, 400)):
    """Uses eight hosts and sixteen fast engines; all figures, also the request rate, are per host."""
    rows = []
    for rate in rates:
        with RunningFleet("--hosts", 8, "--engines", 16, "--services", 1, "--slots", 16, "--speed", 4, "--poll-ms", 500) as fleet:
            time.sleep(2)
            load = start_load(fleet, rate, 8, WINDOW_SECONDS + 4) if rate else None
            time.sleep(2)
            rows.append({"x": rate / 8, **fleet.measure(WINDOW_SECONDS)})
            if load:
                print(load.communicate()[0], file=sys.stderr)
    return {"of": "requests a second a host, 8 hosts", "rows": rows, "fits": ["control-percent", "decisions-percent", "peers-percent", "data-percent", "sent-bytes"]}


def sweep_endpoints(counts=(0, 600, 2400, 4800)):
    rows = []
    for count in counts:
        with RunningFleet("--hosts", 4, "--engines", 1, "--services", 1, "--poll-ms", 500) as fleet:
            for begin in range(0, count, 600):
                # Nothing listens at these addresses; the endpoints are drained, so no run is sent to them.
                lines = [f"create endpoint x{index} pool drafting address 127.1.{index // 250}.{index % 250 + 1}:9 data-centre lisbon-{'abc'[index % 3]} drained yes"
                         for index in range(begin, min(count, begin + 600))]
                fleet.command("\n".join(lines))
            time.sleep(SETTLE_SECONDS)
            rows.append({"x": count, **fleet.measure(WINDOW_SECONDS)})
    return {"of": "endpoints configured", "rows": rows, "fits": ["control-percent", "resident-mb"]}


def sweep_organisations(counts=(0, 300, 940)):
    rows = []
    for count in counts:
        with RunningFleet("--hosts", 4, "--engines", 1, "--services", 1, "--organisations", count, "--poll-ms", 500) as fleet:
            time.sleep(SETTLE_SECONDS)
            rows.append({"x": count, **fleet.measure(WINDOW_SECONDS)})
    return {"of": "organisations configured", "rows": rows, "fits": ["control-percent", "resident-mb"]}


def sweep_streams(counts=(0, 500, 1000, 2000)):
    """Opens streams on one host; each sends an event every half second."""
    rows = []
    for count in counts:
        with RunningFleet("--hosts", 1, "--engines", 4, "--services", 1, "--slots", 600, "--engine-option=--decode-base-us=500000",
                     "--engine-option=--decode-per-run-us=0", "--engine-option=--prefill-per-token-us=1") as fleet:
            load = start_load(fleet, count / 5, 1000, 5) if count else None
            time.sleep(9)
            row = {"x": metrics(fleet.hosts[0])["yokepond_open_calls{}"], **fleet.measure(WINDOW_SECONDS)}
            # The figures describe this number of open streams only if the streams are still open at the end.
            row["open-at-end"] = metrics(fleet.hosts[0])["yokepond_open_calls{}"]
            rows.append(row)
            if load:
                load.terminate()
                load.wait()
                time.sleep(5)
                row["resident-after-mb"] = resident_megabytes(fleet.hosts[0]["pid"])
    return {"of": "open streams on one host", "rows": rows, "fits": ["resident-mb", "data-percent"]}


def sweep_changes(sizes=(4, 8, 16, 32)):
    """Measures the time until a change is applied on all hosts, and the bytes that a host sends for it."""
    rows = []
    for size in sizes:
        with RunningFleet("--hosts", size, "--engines", 1, "--services", 1, "--poll-ms", 500) as fleet:
            time.sleep(SETTLE_SECONDS)
            idle = fleet.measure(5)["sent-bytes"]
            before = [metrics(host)['yokepond_peer_bytes_total{direction="sent"}'] for host in fleet.hosts]
            begin = time.monotonic()
            times = []
            for index in range(20):
                start = time.monotonic()
                response = fleet.command(f"create tier sweep-{index} rank {50 + index}")
                assert response["behind"] == [], response
                times.append((time.monotonic() - start) * 1000)
            elapsed = time.monotonic() - begin
            after = [metrics(host)['yokepond_peer_bytes_total{direction="sent"}'] for host in fleet.hosts]
            bytes_sent = sum(late - early for early, late in zip(before, after)) / size - idle * elapsed
            times.sort()
            rows.append({"x": size, "in-force-ms": times[10], "in-force-most-ms": times[-1], "bytes-a-change": bytes_sent / 20})
    return {"of": "hosts in the fleet, 20 changes", "rows": rows, "fits": ["in-force-ms", "bytes-a-change"]}


SWEEPS = {"hosts": sweep_hosts, "requests": sweep_requests, "endpoints": sweep_endpoints, "organisations": sweep_organisations, "streams": sweep_streams,
          "changes": sweep_changes}


def render(name, sweep):
    columns = [column for column in sweep["rows"][-1] if column != "x"]
    text = f"\n{name}: {sweep['of']}\n{'x':>9}" + "".join(f"{column:>20}" for column in columns) + "\n"
    for row in sweep["rows"]:
        text += f"{row['x']:>9.1f}" + "".join(f"{row.get(column, float('nan')):>20.3f}" for column in columns) + "\n"
    for column, line in sweep["lines"].items():
        text += f"  {column} = {line['intercept']:.4g} + {line['slope']:.4g} x (slope +- {line['error']:.2g})\n"
    return text


def plot(results):
    width, height, margin = 360, 220, 46
    charts = [(name, sweep, column) for name, sweep in results.items() for column in sweep["fits"]]
    per_row = 3
    rows = (len(charts) + per_row - 1) // per_row
    svg = f'<svg xmlns="http://www.w3.org/2000/svg" width="{width * per_row}" height="{height * rows}" font-family="sans-serif" font-size="11">\n'
    svg += f'<rect width="{width * per_row}" height="{height * rows}" fill="white"/>\n'
    for index, (name, sweep, column) in enumerate(charts):
        left, top = width * (index % per_row), height * (index // per_row)
        points = [(row["x"], row[column]) for row in sweep["rows"]]
        max_x, max_y = max(x for x, _ in points) or 1, max(max(y for _, y in points), 1e-9) * 1.1
        to_pixels = lambda x, y: (left + margin + x / max_x * (width - 1.5 * margin), top + height - margin + -y / max_y * (height - 2 * margin))
        line = sweep["lines"][column]
        ends = [to_pixels(x, min(max_y, max(0, line["intercept"] + line["slope"] * x))) for x in (0, max_x)]
        svg += f'<text x="{left + margin}" y="{top + 18}">{column} by {sweep["of"]}</text>\n'
        svg += f'<line x1="{ends[0][0]:.1f}" y1="{ends[0][1]:.1f}" x2="{ends[1][0]:.1f}" y2="{ends[1][1]:.1f}" stroke="#1b6ca8"/>\n'
        svg += "".join(f'<circle cx="{to_pixels(x, y)[0]:.1f}" cy="{to_pixels(x, y)[1]:.1f}" r="3" fill="#c0392b"/>\n' for x, y in points)
        svg += f'<text x="{left + 4}" y="{top + 36}">{max_y:.3g}</text><text x="{left + width - margin}" y="{top + height - margin + 16}">{max_x:g}</text>\n'
    return svg + "</svg>\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="capacity-results")
    parser.add_argument("--only", default=",".join(SWEEPS))
    options = parser.parse_args()
    out = pathlib.Path(options.out)
    out.mkdir(parents=True, exist_ok=True)
    results = {}
    for name in options.only.split(","):
        sweep = SWEEPS[name]()
        sweep["lines"] = {column: fit([(row["x"], row[column]) for row in sweep["rows"]]) for column in sweep["fits"]}
        results[name] = sweep
        print(render(name, sweep), flush=True)
    (out / "capacity.json").write_text(json.dumps(results, indent=1))
    (out / "capacity.svg").write_text(plot(results))


if __name__ == "__main__":
    main()
