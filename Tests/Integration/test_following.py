# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""One host follows the store for all hosts, and the store rejects just that host.

Guards against a follower that cannot reach the store and is not replaced: all hosts refused requests with new keys although the store
served most hosts, because the follower is selected by rank among the live hosts and no other host read the store. See
docs/incidents/duties-that-their-holders-cannot-do.md.
"""

import copy
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store, StoreAddress

COUNT = 4


def put_key(store, key):
    changed = copy.deepcopy(CONFIGURATION)
    changed["tenants"][0]["api_keys"].append(key)
    store.put("op", "config", changed)


def accepts_key(hosts, index, key, keys_sent):
    keys_sent.append(key)
    return hosts.send(index, "POST", "/once/x", f"{key}-{index}-{len(keys_sent)}", key=key).status == 200


def wait_until_all_accept(hosts, key):
    keys_sent = []
    for index in range(COUNT):
        wait_until(lambda index=index: accepts_key(hosts, index, key, keys_sent), f"host {index} to accept {key}")


def following_hosts(store_addresses):
    """Returns the indexes of the hosts that call the store within 4 s, which is longer than a long poll lasts."""
    before = [store_address.calls for store_address in store_addresses]
    time.sleep(4)
    return [index for index, store_address in enumerate(store_addresses) if store_address.calls > before[index]]


def test_rejected_follower_is_replaced():
    store = Store()
    store_addresses = [StoreAddress(store) for _ in range(COUNT)]
    app = Endpoint("i-a1")
    hosts = Hosts(parse_options().bin, [store_address.address for store_address in store_addresses], "[platform]\nfollowers = 1\n")
    try:
        store.put("op", "config", CONFIGURATION)
        store.put("servers", app.name, app.row("app"))
        hosts.wait_ready()
        put_key(store, "calm-key")
        wait_until_all_accept(hosts, "calm-key")
        wait_until(lambda: len(following_hosts(store_addresses)) == 1, "one host to follow", 60)
        follower = following_hosts(store_addresses)[0]
        store_addresses[follower].rejecting = True
        put_key(store, "key-while-rejected")
        wait_until_all_accept(hosts, "key-while-rejected")
        delegates = [entry["to"] for entry in hosts.log(follower) if entry["event"] == "follow-delegated"]
        assert delegates, "the rejected host did not ask another host to follow"
        store_addresses[follower].rejecting = False
        put_key(store, "key-after")
        wait_until_all_accept(hosts, "key-after")
        wait_until(lambda: following_hosts(store_addresses) == [follower], "the selected host to be the only follower again", 60)
        codes = hosts.stop()
        assert codes == [0] * COUNT, codes
    finally:
        store.closing.set()
        for process in hosts.processes:
            process.kill()


if __name__ == "__main__":
    run_tests(globals())
