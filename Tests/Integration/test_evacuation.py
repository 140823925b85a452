# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""Endpoints of a data centre that operators have evacuated get no new requests from any host, until the evacuation ends."""

import threading
import time

from fleet import Fleet, parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store, StoreAddress

ZONE_KEY = "evacuate/a"


class Site:
    """Three hosts and an endpoint of each pool in data centres a and b; the store can turn the first host away."""

    def __enter__(self):
        self.store = Store()
        self.store_address = StoreAddress(self.store)
        self.models = {zone: Endpoint(f"i-model-{zone}") for zone in "ab"}
        self.apps = {zone: Endpoint(f"i-app-{zone}") for zone in "ab"}
        self.hosts = Hosts(parse_options().bin, [self.store_address.address, self.store.address, self.store.address])
        self.store.put("op", "config", CONFIGURATION)
        for service, endpoints in (("model", self.models), ("app", self.apps)):
            for zone, endpoint in endpoints.items():
                self.store.put("servers", endpoint.name, {**endpoint.row(service), "zone": zone})
        self.hosts.wait_ready()
        for index in range(3):
            wait_until(lambda index=index: self.send_all(index, f"ready-{index}") == {200}, "endpoints of both pools")
        return self

    def __exit__(self, *_):
        self.store.closing.set()
        for process in self.hosts.processes:
            process.kill()

    def send_all(self, index, name):
        paths = ("/once/x", "/stream/x")
        return {self.hosts.send(index, "POST", path, f"{name}-{time.monotonic()}").status for path in paths}

    def runs(self, zone):
        return len(self.models[zone].runs) + len(self.apps[zone].runs)

    def wait_applied(self, version=None):
        version = version or self.store.version
        wait_until(lambda: all(any(entry["event"] == "configuration-applied" and entry["configuration-version"] >= version
                                   for entry in self.hosts.log(index)) for index in range(3)), "all hosts to apply the change")

    def assert_avoided(self, zone):
        """Asserts that all hosts serve both pools without the endpoints of @p zone."""
        before = self.runs(zone)
        for number in range(12):
            assert self.send_all(number % 3, f"avoided-{number}") == {200}
        assert self.runs(zone) == before, (self.runs(zone), before)

    def assert_used(self, zone):
        """Waits until endpoints of @p zone get requests again."""
        before = self.runs(zone)

        def used():
            for index in range(3):
                threads = [threading.Thread(target=self.send_all, args=(index, f"used-{number}")) for number in range(4)]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
            return self.runs(zone) > before

        wait_until(used, f"requests to data centre {zone}")


# Guards against hosts that read the configuration but not the evacuations beside it.
def test_evacuated_data_centre_gets_no_requests():
    with Site() as site:
        site.store.put("op", ZONE_KEY, {})
        site.wait_applied()
        site.assert_avoided("a")
        site.store.remove("op", ZONE_KEY)
        site.wait_applied()
        site.assert_used("a")


# Guards against an evacuation that only hosts learn to which the store responds.
def test_host_that_the_store_rejects_follows_an_evacuation():
    with Site() as site:
        site.store_address.rejecting = True
        site.store.put("op", ZONE_KEY, {})
        site.wait_applied()
        site.assert_avoided("a")


# Guards against an evacuation that is forgotten, or kept for ever, when the store no longer has its history.
def test_evacuation_that_ends_while_the_store_is_down_and_forgets_its_history():
    with Site() as site:
        site.store.put("op", ZONE_KEY, {})
        site.wait_applied()
        site.store.down = True
        wait_until(lambda: any(entry["event"] == "store-lost" for entry in site.hosts.log(1)), "a host to notice the outage")
        site.assert_avoided("a")
        site.store.remove("op", ZONE_KEY)
        site.store.compact_history()
        site.store.down = False
        site.assert_used("a")


# Guards against a host that forgets an evacuation with its restart.
def test_restarted_host_keeps_to_an_evacuation():
    with Site() as site:
        site.store.put("op", ZONE_KEY, {})
        site.wait_applied()
        site.hosts.processes[2].kill()
        site.hosts.processes[2].wait()
        site.hosts.start(2)
        wait_until(lambda: site.hosts.ready(2), "the host to be ready again")
        site.assert_avoided("a")


# Guards against requests that wait in vain for a pool whose data centres are all evacuated.
def test_request_without_any_data_centre_is_refused_at_once():
    with Site() as site:
        for zone in "ab":
            site.store.put("op", f"evacuate/{zone}", {})
        site.wait_applied()
        for index in range(3):
            began = time.monotonic()
            response = site.hosts.send(index, "POST", "/once/x", f"none-{index}")
            assert response.status == 503 and float(response.headers["retry-after"]) > 0, (response.status, response.headers)
            assert time.monotonic() - began < 0.5
            assert "evacuated data centres: a, b" in response.body, response.body


# Guards against operators' commands that do not reach the endpoints of the data centre.
def test_operators_evacuate_and_resume_a_data_centre():
    with Fleet("--hosts", 3, "--engines", 3, "--services", 1) as fleet:
        place = fleet.endpoints("engine")[0]["dataCentre"]
        fleet.command(f"evacuate data-centre {place}")
        wait_until(lambda: all(row["accepting"] == 0 for row in fleet.query("show data-centres")["rows"]
                               if row["name"] == place), "the evacuation on all hosts")
        rows = {row["name"]: row for row in fleet.query("show data-centres")["rows"]}
        assert rows[place]["evacuated"] == "yes", rows
        fleet.command(f"resume data-centre {place}")
        wait_until(lambda: all(row["accepting"] > 0 for row in fleet.query("show data-centres")["rows"]
                               if row["name"] == place), "the end of the evacuation on all hosts")
        fleet.assert_no_violations()


if __name__ == "__main__":
    run_tests(globals())
