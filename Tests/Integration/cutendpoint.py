# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""An endpoint whose paths to single hosts can be cut: packets from those hosts get lost, as behind a failed switch."""

import collections
import ctypes
import socket
import struct

from recordsplatform import Endpoint

SO_ATTACH_FILTER = 26
# Instructions of the classic packet filter of Linux (linux/filter.h): load a word, jump if equal, return.
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
SOURCE_ADDRESS = (-0x100000 + 12) & 0xFFFFFFFF  # SKF_NET_OFF plus the offset of the source address in the IPv4 header
ALL_BYTES = 0xFFFFFFFF


def filter_program(sources):
    """Returns a filter that drops the packets from the addresses `sources`."""
    jumps = [(JUMP_IF_EQUAL, len(sources) - index, 0, struct.unpack("!I", socket.inet_aton(source))[0]) for index, source in enumerate(sources)]
    return [(LOAD_WORD, 0, 0, SOURCE_ADDRESS), *jumps, (RETURN, 0, 0, ALL_BYTES), (RETURN, 0, 0, 0)]


def drop_packets(endpoint_socket, sources):
    instructions = filter_program(sources)
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *entry) for entry in instructions))
    endpoint_socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HL", len(instructions), ctypes.addressof(code)))


class CutEndpoint(Endpoint):
    """An endpoint with paths that `cut()` cuts: connections of a host that is cut off hang.

    `accepted`: number of connections by the address of the host that opened them.
    """

    def __init__(self, name):
        super().__init__(name)
        self.sockets = []
        self.cut_sources = []
        self.accepted = collections.Counter()
        accept = self.http.get_request

        def accept_and_keep():
            accepted, address = accept()
            self.sockets.append(accepted)
            # A connection has the filter that its listener had when it was opened, which may have changed since.
            drop_packets(accepted, self.cut_sources)
            self.accepted[address[0]] += 1
            return accepted, address

        self.http.get_request = accept_and_keep

    def cut(self, sources):
        """Cuts the paths from the addresses `sources`; an empty list mends all paths."""
        self.cut_sources = list(sources)
        for entry in [self.http.socket, *self.sockets]:
            if entry.fileno() >= 0:
                drop_packets(entry, self.cut_sources)
