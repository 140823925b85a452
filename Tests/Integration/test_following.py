# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Real hosts of which one follows the store for all, and the store turns just that one away.

What was seen: requests with new keys were refused by all hosts while the store served most of them. Cause: who follows is picked by
rank among the hosts that live, and nobody else asked. See docs/incidents/duties-that-their-holders-cannot-do.md.
"""

import copy
import time

from fleet import parse_bin, run_tests, wait_until
from recordsplatform import CONFIGURATION, Door, Hosts, Runner, Store

COUNT = 4


def put_key(store, key):
    changed = copy.deepcopy(CONFIGURATION)
    changed["tenants"][0]["api_keys"].append(key)
    store.put("op", "config", changed)


def knows(hosts, index, key, tries):
    tries.append(key)
    return hosts.send(index, "POST", "/once/x", f"{key}-{index}-{len(tries)}", key=key).status == 200


def wait_until_all_know(hosts, key):
    tries = []
    for index in range(COUNT):
        wait_until(lambda index=index: knows(hosts, index, key, tries), f"host {index} to know {key}")


def following(doors):
    """The doors that hosts come by within some seconds, longer than a call is held."""
    before = [door.calls for door in doors]
    time.sleep(4)
    return [index for index, door in enumerate(doors) if door.calls > before[index]]


def test_a_host_that_is_not_answered_is_replaced():
    store = Store()
    doors = [Door(store) for _ in range(COUNT)]
    app = Runner("i-a1")
    hosts = Hosts(parse_bin().bin, [door.address for door in doors], "[platform]\nfollowers = 1\n")
    try:
        store.put("op", "config", CONFIGURATION)
        store.put("servers", app.name, app.row("app"))
        hosts.wait_ready()
        put_key(store, "calm-key")
        wait_until_all_know(hosts, "calm-key")
        wait_until(lambda: len(following(doors)) == 1, "one host to follow", 60)
        follower = following(doors)[0]
        doors[follower].closed = True
        put_key(store, "key-while-turned-away")
        wait_until_all_know(hosts, "key-while-turned-away")
        asked = [entry["to"] for entry in hosts.log(follower) if entry["event"] == "follow-delegated"]
        assert asked, "the host that is turned away asks another"
        doors[follower].closed = False
        put_key(store, "key-after")
        wait_until_all_know(hosts, "key-after")
        wait_until(lambda: following(doors) == [follower], "the host that is picked to follow alone again", 60)
        codes = hosts.stop()
        assert codes == [0] * COUNT, codes
    finally:
        store.ended.set()
        for process in hosts.processes:
            process.kill()


if __name__ == "__main__":
    run_tests(globals())
