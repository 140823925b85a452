# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""The promises of a fleet, judged from what callers were told and what endpoints ran. Pure: records in, broken promises out.

Times are seconds on one clock of this machine.
"""

import collections
import dataclasses


@dataclasses.dataclass
class Try:
    """One request of a caller, with a name of its own, and what came back; status 0: the connection ended without an answer."""

    name: str
    path: str
    key: str
    host: int
    life: int  # of the host's process, counted from 0
    sent: float
    ended: float
    status: int
    answered_name: str = ""  # as the answer carries it
    signature: str = ""
    body: bytes = b""
    whole: bool = True


@dataclasses.dataclass
class Run:
    name: str
    endpoint: str
    arrived: float


@dataclasses.dataclass
class Accepted:
    """A configuration that the store took at a time: the keys and the paths that it allows."""

    at: float
    keys: frozenset
    paths: frozenset

    def allows(self, entry):
        return entry.key in self.keys and any(entry.path.startswith(path) for path in self.paths)


@dataclasses.dataclass
class Trouble:
    """A time within which bounds of time do not hold for a host; host None: for all."""

    begin: float
    end: float
    host: int | None = None

    def touches(self, host, begin, end):
        return self.host in (None, host) and self.begin <= end and begin <= self.end


@dataclasses.dataclass
class Record:
    tries: list
    runs: list
    configurations: list  # in order of their times
    leaving: dict  # endpoint: when the store took its word that it leaves
    troubles: list
    stops: list  # (host, life, begin, end) of planned stops
    bound: float = 3.0  # seconds within which a change is known, also the time without trouble after which a host is counted on

    def calm(self, host, begin, end):
        return not any(trouble.touches(host, begin, end) for trouble in self.troubles)


NOT_RUN = (408, 421, 429, 503)
ONCE = ("/once/", "/extra/")  # paths of what may not be repeated
STOP_MARGIN = 0.2
REVERT_SLACK = 0.25


def wrong_answers(record):
    """A success is whole and the caller's own, from an endpoint that ran it."""
    ran = collections.defaultdict(set)
    for run in record.runs:
        ran[run.name].add(run.endpoint)
    for entry in record.tries:
        if entry.status == 200:
            endpoint = entry.signature.removeprefix("signed-by-")
            if entry.answered_name != entry.name or endpoint not in ran[entry.name] or not entry.whole:
                yield f"{entry.name}: answered as {entry.answered_name} by {entry.signature}, whole {entry.whole}"


def doubled_runs(record):
    """What may not be repeated runs at most once."""
    paths = {entry.name: entry.path for entry in record.tries}
    counts = collections.Counter(run.name for run in record.runs)
    for name, count in counts.items():
        if count > 1 and paths.get(name, "").startswith(ONCE):
            yield f"{name}: ran {count} times"


def unasked_runs(record):
    names = {entry.name for entry in record.tries}
    yield from (f"{run.name}: ran though nobody sent it" for run in record.runs if run.name not in names)


def false_not_run(record):
    """What was said not to have run has not, also later."""
    ran = {run.name for run in record.runs}
    for entry in record.tries:
        if entry.status in NOT_RUN and entry.path.startswith(ONCE) and entry.name in ran:
            yield f"{entry.name}: answered {entry.status}, and ran"


def contradicts(entry, held):
    """Whether no configuration of @p held explains the answer."""
    if entry.status in (401, 404):
        return all(accepted.allows(entry) for accepted in held)
    return entry.status == 200 and not any(accepted.allows(entry) for accepted in held)


def stale_configuration(record):
    """A host that was calm long enough answers as one of the configurations that may be in force."""
    for entry in record.tries:
        known = [accepted for accepted in record.configurations if accepted.at <= entry.sent - record.bound]
        if not known or not record.calm(entry.host, entry.sent - record.bound, entry.ended):
            continue
        later = [accepted for accepted in record.configurations if known[-1].at < accepted.at <= entry.ended]
        if contradicts(entry, known[-1:] + later):
            yield f"{entry.name}: host {entry.host} answered {entry.status} as an older configuration says"


def reverted_configuration(record):
    """Within one life of its process a host does not go back behind a configuration that it has shown to hold."""
    shown = collections.defaultdict(list)  # of a life: when it was shown to hold which
    for entry in sorted(record.tries, key=lambda entry: entry.ended):
        life = shown[(entry.host, entry.life)]
        reached = max((index for at, index in life if at < entry.sent - REVERT_SLACK), default=0)
        held = [accepted for accepted in record.configurations[reached:] if accepted.at <= entry.ended]
        if held and contradicts(entry, held):
            yield f"{entry.name}: host {entry.host} answered {entry.status}, behind what it had shown to hold"
        if entry.status == 200:
            allowing = [index for index, accepted in enumerate(record.configurations) if accepted.allows(entry)]
            life.append((entry.ended, min(allowing, default=0)))


def runs_at_leaving(record):
    """An endpoint that said that it leaves gets nothing new some seconds later, of hosts that were calm."""
    hosts = {entry.name: entry.host for entry in record.tries}
    for run in record.runs:
        left = record.leaving.get(run.endpoint)
        if left is None or run.arrived <= left + record.bound:
            continue
        if record.calm(hosts.get(run.name), left, run.arrived):
            yield f"{run.name}: reached {run.endpoint} {run.arrived - left:.1f} s after it had said that it leaves"


def cut_by_stops(record):
    """A planned stop cuts off nothing that was sent before its end, but for new connections that find nobody."""
    for host, life, begin, end in record.stops:
        for entry in record.tries:
            during = begin - 5 < entry.sent < end - STOP_MARGIN and entry.ended > begin
            ran = any(run.name == entry.name for run in record.runs)
            calm = record.calm(host, entry.sent - record.bound, entry.ended)
            if (entry.host, entry.life) == (host, life) and during and calm and entry.status == 0 and ran:
                yield f"{entry.name}: cut off by the planned stop of host {host}"


def unserved_classes(record, least=20):
    """Each kind of request is served in the end."""
    by_path = collections.defaultdict(list)
    for entry in record.tries:
        last = record.configurations[-1] if record.configurations else None
        if last is not None and last.allows(entry):
            by_path[entry.path].append(entry.status == 200)
    yield from (f"{path}: none of {len(served)} served" for path, served in by_path.items() if len(served) >= least and not any(served))


CHECKS = (wrong_answers, doubled_runs, unasked_runs, false_not_run, stale_configuration, reverted_configuration, runs_at_leaving,
          cut_by_stops, unserved_classes)


def broken(record):
    """All broken promises, by the name of the check."""
    found = {check.__name__: list(check(record)) for check in CHECKS}
    return {name: entries for name, entries in found.items() if entries}
