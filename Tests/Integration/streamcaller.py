# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Callers that read streams event by event and take up those that break, and the checks of what they hold."""

import collections
import dataclasses
import http.client
import re
import time

EVENT = re.compile(r"id: (\d+)\ndata: token \d+ of (\S*)\n\n")
LAST_EVENT = 5  # of a stream of recordsplatform.Endpoint


@dataclasses.dataclass
class Try:
    """One try of a caller: its status, 0 if the connection broke before it, and how long it took."""

    name: str
    host: int
    resumes: str
    status: int = 0
    seconds: float = 0.0
    events: int = 0


@dataclasses.dataclass
class Stream:
    """What a caller holds of one stream: the number and the software version of each event."""

    name: str
    events: list = dataclasses.field(default_factory=list)
    tries: list = dataclasses.field(default_factory=list)

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
    """Calls the hosts at the addresses `callers`; each try goes to the host that the test names."""

    def __init__(self, callers, key="good-key"):
        self.callers = callers
        self.key = key

    def begin(self, host, name, deadline_ms=5000):
        stream = Stream(name)
        self.call(stream, host, name, deadline_ms)
        return stream

    def take_up(self, stream, host, deadline_ms=5000, named=True):
        """Goes on with a broken stream at another host; `named=False` leaves out which try brought the first event."""
        self.call(stream, host, f"{stream.name}-again-{len(stream.tries)}", deadline_ms, named)

    def call(self, stream, host, name, deadline_ms, named=True):
        first = next((entry.name for entry in stream.tries if entry.events), "")
        entry = Try(name, host, first if stream.events else "")
        headers = {"Host": "site.example", "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms), "X-Credential": self.key}
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1][0])
        if entry.resumes and named:
            headers["Resumes"] = entry.resumes
        stream.tries.append(entry)
        began = time.monotonic()
        connection = http.client.HTTPConnection(self.callers[host], timeout=30)
        text = ""
        try:
            # A path of its own: streams that ask for the same and break off are taken for one that ends its endpoints.
            connection.request("POST", f"/stream/{stream.name}", body="payload", headers=headers)
            response = connection.getresponse()
            entry.status = response.status
            while response.status == 200:
                line = response.readline()
                if not line:
                    break
                text += line.decode()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
            found = [(int(number), version) for number, version in EVENT.findall(text)]
            entry.events = len(found)
            stream.events += found
            entry.seconds = time.monotonic() - began


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
