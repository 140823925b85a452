# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Callers that read streams event by event and take up those that break, and the checks of what they hold."""

import collections
import dataclasses
import http.client
import re
import time

EVENT = re.compile(r"id: (\d+)\ndata: token \d+ of (\S*)\n\n")
READ_BYTES = 4096
LAST_EVENT = 5  # of a stream of recordsplatform.Endpoint


@dataclasses.dataclass
class Try:
    """One try of a caller. Its status is 0 if the connection broke before it came; `broken` tells whether it broke at any time."""

    name: str
    host: int
    resumes: str
    sent: float = 0.0  # monotonic
    seconds: float = 0.0
    status: int = 0
    broken: bool = False
    events: int = 0
    response_name: str = ""
    signature: str = ""


@dataclasses.dataclass
class Stream:
    """What a caller holds of one stream: the number and the software version of each event."""

    name: str
    events: list = dataclasses.field(default_factory=list)
    tries: list = dataclasses.field(default_factory=list)
    parts: str = ""  # X-Prefix-Hash: the parts of the prompt, as ID:TOKENS by commas

    @property
    def whole(self):
        return [number for number, _ in self.events] == list(range(1, LAST_EVENT + 1))

    @property
    def versions(self):
        return {version for _, version in self.events}

    @property
    def taken_up(self):
        """The tries that named an earlier one."""
        return [entry for entry in self.tries if entry.resumes]


class StreamCaller:
    """Calls the hosts at the addresses `callers`; each try goes to the host that the test names.

    `path`: the path of all streams. Without it each stream has one of its own: streams that ask for the same and break off are taken for one
    that ends its endpoints.
    """

    def __init__(self, callers, key="good-key", path=None):
        self.callers = callers
        self.key = key
        self.path = path

    def begin(self, host, name, deadline_ms=5000, parts=""):
        stream = Stream(name, parts=parts)
        self.call(stream, host, name, deadline_ms)
        return stream

    def take_up(self, stream, host, deadline_ms=5000, named=True):
        """Goes on with a broken stream at another host; `named=False` leaves out which try brought the first event."""
        self.call(stream, host, f"{stream.name}-again-{len(stream.tries)}", deadline_ms, named)

    def call(self, stream, host, name, deadline_ms, named=True):
        first = next((entry.name for entry in stream.tries if entry.events), "")
        entry = Try(name, host, first if stream.events else "")
        headers = {"Host": "site.example", "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms), "X-Credential": self.key}
        if stream.parts:
            headers["X-Prefix-Hash"] = stream.parts
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1][0])
        if entry.resumes and named:
            headers["Resumes"] = entry.resumes
        stream.tries.append(entry)
        entry.sent = time.monotonic()
        connection = http.client.HTTPConnection(self.callers[host], timeout=30)
        text = ""
        held = len(stream.events)
        try:
            connection.request("POST", self.path or f"/stream/{stream.name}", body="payload", headers=headers)
            response = connection.getresponse()
            entry.status = response.status
            entry.response_name = response.headers.get("X-Request-Id", "")
            entry.signature = response.headers.get("X-Response-Signature", "")
            # Unlike readline(), read1() fails if the connection ends before the last chunk.
            while response.status == 200 and (part := response.read1(READ_BYTES)):
                text += part.decode()
                found = [(int(number), version) for number, version in EVENT.findall(text)]
                entry.events = len(found)
                stream.events[held:] = found
        except (OSError, http.client.HTTPException):
            entry.broken = True
        finally:
            connection.close()
            entry.seconds = time.monotonic() - entry.sent


def assert_one_version_each(streams, most=0):
    """Asserts that at most `most` streams hold events of two software versions; the platform's rule allows two."""
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    print("streams by versions:", dict(collections.Counter("+".join(sorted(stream.versions)) for stream in streams)), flush=True)
    assert len(mixed) <= most, (len(mixed), [(stream.name, stream.events, stream.tries) for stream in mixed[:3]])


def assert_taken_up_streams_go_on(taken_up, begun):
    """Asserts the platform's rule: of 12 or more taken-up streams, half the share of new streams that begin goes on."""
    goes_on = sum(1 for stream in taken_up if stream.taken_up[-1].events) / len(taken_up)
    begins = sum(1 for stream in begun if stream.events) / len(begun)
    print(f"taken up: {len(taken_up)}, of which go on: {goes_on:.2f}; new streams that begin: {begins:.2f}", flush=True)
    assert len(taken_up) >= 12 and goes_on >= begins / 2, (goes_on, begins, [stream.tries for stream in taken_up[:3]])
