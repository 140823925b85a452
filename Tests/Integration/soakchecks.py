# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Checks the guarantees of a fleet against a record of what callers received and what endpoints ran.

The checks are pure functions: they take a record and return the violations in it. Times are seconds on this machine's monotonic clock.
"""

import collections
import dataclasses


@dataclasses.dataclass
class CallerRequest:
    """One request of a caller, whose name is its unique X-Request-Id, and its response; status 0: the connection ended without a response."""

    name: str
    path: str
    key: str
    host: int
    incarnation: int  # number of starts of the host before the one that received the request
    sent: float
    ended: float
    status: int
    response_name: str = ""  # X-Request-Id of the response
    signature: str = ""
    body: bytes = b""
    complete: bool = True


@dataclasses.dataclass
class Run:
    name: str
    endpoint: str
    arrived: float


@dataclasses.dataclass
class AcceptedConfiguration:
    """The keys and paths that a configuration allows, and the time at which the store got it."""

    at: float
    keys: frozenset
    paths: frozenset

    def allows(self, entry):
        return entry.key in self.keys and any(entry.path.startswith(path) for path in self.paths)


@dataclasses.dataclass
class Disturbance:
    """A period in which time limits are not checked for a host; host None: for all hosts."""

    begin: float
    end: float
    host: int | None = None

    def overlaps(self, host, begin, end):
        return self.host in (None, host) and self.begin <= end and begin <= self.end


@dataclasses.dataclass
class PartHistory:
    """A part of prompts that crashes engines: when it crashed them, and the requests with it that reached engines."""

    part: str
    crashes: list = dataclasses.field(default_factory=list)  # times
    arrivals: list = dataclasses.field(default_factory=list)  # (name of the request, time)


@dataclasses.dataclass
class Record:
    requests: list
    runs: list
    configurations: list  # ordered by time
    leaving: dict  # endpoint name -> time at which the store got its state `draining`
    disturbances: list
    stops: list  # (host, incarnation, begin, end) of planned stops
    streams: list = dataclasses.field(default_factory=list)  # streamcaller.Stream, of callers that take broken streams up
    bound: float = 3.0  # seconds within which a host must apply a change; a host must be undisturbed as long before it is checked
    parts: list = dataclasses.field(default_factory=list)  # PartHistory
    crashes: dict = dataclasses.field(default_factory=dict)  # endpoint name -> time at which it crashed

    def broken_off_by_endpoint(self, entry):
        """Whether the endpoint of the request's last run crashed during it: it was not the host then that cut the request."""
        last = max((run for run in self.runs if run.name == entry.name), key=lambda run: run.arrived, default=None)
        return last is not None and last.arrived <= self.crashes.get(last.endpoint, float("inf")) <= entry.ended

    def undisturbed(self, host, begin, end):
        return not any(disturbance.overlaps(host, begin, end) for disturbance in self.disturbances)


NOT_RUN = (408, 421, 429, 503)  # statuses that say that the request has not run
ONCE = ("/once/", "/extra/")  # paths of requests that must not run twice
STOP_MARGIN = 0.2  # seconds before the end of a stop in which new requests are not checked
REVERT_SLACK = 0.25  # minimum seconds between the end of one request and the start of another that are compared


def wrong_responses(record):
    """Finds successful responses that are incomplete, belong to another request, or name an endpoint that did not run the request."""
    ran = collections.defaultdict(set)
    for run in record.runs:
        ran[run.name].add(run.endpoint)
    for entry in record.requests:
        if entry.status == 200:
            endpoint = entry.signature.removeprefix("signed-by-")
            if entry.response_name != entry.name or endpoint not in ran[entry.name] or not entry.complete:
                yield f"{entry.name}: response for {entry.response_name}, signature {entry.signature}, complete {entry.complete}"


def duplicate_runs(record):
    """Finds requests that must not run twice and did."""
    paths = {entry.name: entry.path for entry in record.requests}
    counts = collections.Counter(run.name for run in record.runs)
    for name, count in counts.items():
        if count > 1 and paths.get(name, "").startswith(ONCE):
            yield f"{name}: ran {count} times"


def unrequested_runs(record):
    """Finds runs of requests that no caller sent."""
    names = {entry.name for entry in record.requests}
    yield from (f"{run.name}: ran, but no caller sent it" for run in record.runs if run.name not in names)


def false_not_run(record):
    """Finds requests whose status says that they have not run although an endpoint ran them, before or after the response."""
    ran = {run.name for run in record.runs}
    for entry in record.requests:
        if entry.status in NOT_RUN and entry.path.startswith(ONCE) and entry.name in ran:
            yield f"{entry.name}: status {entry.status} says that it has not run, but it ran"


def contradicts(entry, possible):
    """Whether the response is possible under none of the configurations."""
    if entry.status in (401, 404):
        return all(configuration.allows(entry) for configuration in possible)
    return entry.status == 200 and not any(configuration.allows(entry) for configuration in possible)


def stale_configuration(record):
    """Finds responses of undisturbed hosts that no configuration explains that may be in force."""
    for entry in record.requests:
        applicable = [configuration for configuration in record.configurations if configuration.at <= entry.sent - record.bound]
        if not applicable or not record.undisturbed(entry.host, entry.sent - record.bound, entry.ended):
            continue
        later = [configuration for configuration in record.configurations if applicable[-1].at < configuration.at <= entry.ended]
        if contradicts(entry, applicable[-1:] + later):
            yield f"{entry.name}: host {entry.host} answered {entry.status}, which only an older configuration explains"


def reverted_configuration(record):
    """Finds hosts that, without a restart, applied a configuration and then answered by an older one."""
    # (host, incarnation) -> list of (time, index of the oldest configuration that it can have applied by then)
    applied_by_host = collections.defaultdict(list)
    for entry in sorted(record.requests, key=lambda entry: entry.ended):
        applied = applied_by_host[(entry.host, entry.incarnation)]
        reached = max((index for at, index in applied if at < entry.sent - REVERT_SLACK), default=0)
        possible = [configuration for configuration in record.configurations[reached:] if configuration.at <= entry.ended]
        if possible and contradicts(entry, possible):
            yield f"{entry.name}: host {entry.host} answered {entry.status} by a configuration older than one that it had applied"
        if entry.status == 200:
            allowing = [index for index, configuration in enumerate(record.configurations) if configuration.allows(entry)]
            applied.append((entry.ended, min(allowing, default=0)))


def runs_at_leaving_endpoints(record):
    """Finds runs that undisturbed hosts started at an endpoint more than `bound` seconds after it announced that it leaves."""
    hosts = {entry.name: entry.host for entry in record.requests}
    for run in record.runs:
        left_at = record.leaving.get(run.endpoint)
        if left_at is None or run.arrived <= left_at + record.bound:
            continue
        if record.undisturbed(hosts.get(run.name), left_at, run.arrived):
            yield f"{run.name}: reached {run.endpoint} {run.arrived - left_at:.1f} s after it had announced that it leaves"


def requests_cut_by_stops(record):
    """Finds requests that ran and whose connection a planned stop closed without a response."""
    for host, incarnation, begin, end in record.stops:
        for entry in record.requests:
            during = begin - 5 < entry.sent < end - STOP_MARGIN and entry.ended > begin
            ran = any(run.name == entry.name for run in record.runs)
            undisturbed = record.undisturbed(host, entry.sent - record.bound, entry.ended)
            if (entry.host, entry.incarnation) == (host, incarnation) and during and undisturbed and entry.status == 0 and ran \
                    and not record.broken_off_by_endpoint(entry):
                yield f"{entry.name}: cut off by the planned stop of host {host}"


def unserved_paths(record, min_requests=20):
    """Finds paths with enough allowed requests of which none was served."""
    by_path = collections.defaultdict(list)
    for entry in record.requests:
        last = record.configurations[-1] if record.configurations else None
        if last is not None and last.allows(entry):
            by_path[entry.path].append(entry.status == 200)
    yield from (f"{path}: none of {len(served)} served" for path, served in by_path.items() if len(served) >= min_requests and not any(served))


def streams_of_two_versions(record):
    """Finds streams that hold events of two software versions, in one answer or over their caller's tries."""
    for stream in record.streams:
        if len(stream.versions) > 1:
            yield f"{stream.name}: {stream.events}, tries {[(entry.name, entry.host, entry.status) for entry in stream.tries]}"


def streams_out_of_order(record):
    """Finds streams with an event that is missing or comes twice."""
    for stream in record.streams:
        numbers = [number for number, _ in stream.events]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{stream.name}: {stream.events}"


# Crashes after which a part of prompts has to be known, and requests with it that may reach engines from then on.
PART_CRASHES = 5
PART_REQUESTS_ALLOWED = 3


def parts_that_crash_engines(record):
    """Finds parts with which undisturbed hosts send too many requests to engines after engines have crashed under them."""
    hosts = {entry.name: entry.host for entry in record.requests}
    for history in record.parts:
        if len(history.crashes) < PART_CRASHES:
            continue
        known = sorted(history.crashes)[PART_CRASHES - 1] + record.bound
        late = [name for name, at in history.arrivals if at > known and record.undisturbed(hosts.get(name), at - record.bound, at)]
        if len(late) > PART_REQUESTS_ALLOWED:
            yield f"{history.part}: {len(late)} requests reached engines more than {record.bound} s after the fifth crash: {late[:5]}"


CHECKS = (wrong_responses, duplicate_runs, unrequested_runs, false_not_run, stale_configuration, reverted_configuration, runs_at_leaving_endpoints,
          requests_cut_by_stops, unserved_paths, streams_of_two_versions, streams_out_of_order, parts_that_crash_engines)


def find_violations(record):
    """Returns the violations by the name of the check that found them."""
    found = {check.__name__: list(check(record)) for check in CHECKS}
    return {name: entries for name, entries in found.items() if entries}
