from __future__ import annotations

import unittest

from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.topology import Topology, reserve_loopback_prefix


class TopologyTests(unittest.TestCase):
    def test_addresses_are_distinct_and_links_connect_different_zones(self):
        topology = Topology.build(("a", "b", "c"), 2, 4, 9)
        vms = (*topology.entries, *topology.workers)
        addresses = [vm.address for vm in vms]
        addresses += [link.address for link in topology.links()]
        self.assertEqual(len(set(addresses)), 3 * 2 + 3 * 4 + 3 * 4)
        self.assertFalse([x for x in topology.links() if x.source == x.target.zone])


class ClusterTests(unittest.IsolatedAsyncioTestCase):
    async def test_simulated_processes_start_and_stop(self):
        cluster = Cluster.from_zones(("a", "b"), entries=1, workers=1)
        try:
            await cluster.start_platform()
            await cluster.start_workers()
            await cluster.register_vms()
            await cluster.set_platform_faults(table="down")
            await cluster.cut("a", "b")
            records = await cluster.backend_totals()
            names = ("worker-a-1", "worker-b-1")
            cluster.freeze(names[0])
            await cluster.kill(names[1])
        finally:
            codes = await cluster.close()
        self.assertEqual(records.runs, {})
        expected = {"platform": 0, "relay": 0, names[0]: 0, names[1]: -9}
        self.assertEqual(codes, expected)
        self.assertFalse(cluster.directory.exists())


class PrefixTests(unittest.TestCase):
    def test_prefixes_reserved_by_one_process_differ(self):
        prefixes = [reserve_loopback_prefix() for _ in range(100)]
        self.assertEqual(len(set(prefixes)), len(prefixes))
