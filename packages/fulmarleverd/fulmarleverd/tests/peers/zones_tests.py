from __future__ import annotations

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase, wait_until
from fulmarleverd.peers.link import Link
from fulmarleverd.peers.roster import Peer, PeerState, Roster
from fulmarleverd.peers.termination import TerminationDetector
from fulmarleverd.peers.topics import Topics
from fulmarleverd.peers.zones import ZoneRelays
from fulmarleverd.services.membership import Membership
from fulmarleverd.tests.peers.cluster import ClusterTestCase, Echo

FLEET = ("a1", "a2", "b1", "b2", "c1", "c2")


def links_between_zones(services: list[Membership]) -> set[tuple[str, str]]:
    """Return the open connections between zones, by VM names."""
    return {
        (service.settings.vm, vm)
        for service in services
        for vm, link in service._links.items()
        if link.is_up and vm[0] != service.settings.zone
    }


def are_links_stable(services: list[Membership]) -> bool:
    """Return whether every connection is open or not needed."""
    links = [link for service in services for link in service._links.values()]
    return all(link.is_up != link.is_idle for link in links)


def relay_pairs(*relays: str) -> set[tuple[str, str]]:
    return {(one, two) for one in relays for two in relays if one != two}


class HeartbeatIntervalTests(TableTestCase):
    def test_heartbeats_per_second_are_bounded_by_the_interval(self):
        rows = [
            ("no peers", 0, 0, 1.0, 1.0),
            ("3 daemons, 4 zones", 2, 3, 1.0, 3.0),
            ("8 daemons, 9 zones", 7, 8, 3.5, 8.0),
        ]
        for _, local_peers, zones, expected_local, expected_remote in self.each(rows):
            clock = ManualClock()
            roster = Roster(clock, 2.0)
            relays = ZoneRelays("a0", "a", roster, Topics(), TerminationDetector(clock))
            for number in range(local_peers):
                roster.update_address(f"a{number + 1}", "a", "127.0.0.1", number)
            for number in range(zones):
                roster.update_address(
                    f"remote{number}", f"remote{number}", "127.0.0.1", number
                )
            local, remote = Peer("a1", "a", "", 0), Peer("remote0", "remote0", "", 0)
            self.assertEqual(relays.interval_factor(local), expected_local)
            self.assertEqual(relays.interval_factor(remote), expected_remote)

    def test_silence_limit_follows_the_interval_of_the_sender(self):
        clock = ManualClock()
        roster = Roster(clock, 2.0)
        roster.update_address("a1", "a", "127.0.0.1", 1)
        roster.record_contact("a1", 5, 0)
        rows = [
            ("minimum", 0.5, 2.0),
            ("long interval", 1.75, 5.25),
            ("maximum", 1e9, 30.0),
        ]
        for _, interval_s, limit_s in self.each(rows):
            roster.set_heartbeat_interval("a1", interval_s)
            self.assertEqual(roster.silence_limit_s("a1"), limit_s)


class ZoneTests(ClusterTestCase):
    async def start_fleet(self) -> list[Membership]:
        services = await self.start_all(*FLEET)
        await wait_until(lambda: are_links_stable(services))
        expected = relay_pairs("a1", "b1", "c1")
        self.assertEqual(links_between_zones(services), expected)
        return services

    async def test_one_connection_between_zones_carries_every_topic(self):
        services = await self.start_fleet()
        for service in services:
            vm = service.settings.vm
            service.publish("number", vm)
            service.publish("load", {"x": [1, vm]})
        for service in services:
            others = {vm for vm in FLEET if vm != service.settings.vm}
            expected = {vm: vm for vm in others}
            await wait_until(lambda s=service, e=expected: s.view("number") == e)
            await wait_until(lambda s=service, o=others: set(s.view("load")) == o)
            self.assertEqual(len(service.live()), len(others))

    async def test_daemons_of_another_zone_need_not_be_configured(self):
        self.assign_addresses("a1", "a2", "b1", "b2")
        known = {"a1": ("a2", "b1"), "a2": ("a1",), "b1": ("a1", "b2"), "b2": ("b1",)}
        for vm, others in known.items():
            peers = tuple(self.addresses[other] for other in others)
            service = await self.start(vm, peers=peers)
            service.publish("number", vm)
        for vm in known:
            service = self.kernels[vm].find("membership")
            expected = {other: other for other in known if other != vm}
            await wait_until(lambda s=service, e=expected: s.view("number") == e)

    async def test_calls_reach_daemons_without_an_open_connection(self):
        services = await self.start_fleet()

        async def echo(req: Echo) -> Echo:
            return req

        services[-1].handle(Echo, echo)
        answer = await services[1].call("c2", Echo("x"), 5.0)
        self.assertEqual(answer, Echo("x"))

    async def test_next_daemon_replaces_a_stopped_relay(self):
        services = await self.start_fleet()
        first = services[0].incarnation
        await self.stop("a1")
        remaining = services[1:]
        expected = relay_pairs("a2", "b1", "c1")
        await wait_until(lambda: links_between_zones(remaining) >= expected)
        remaining[0].publish("number", 7)
        for service in remaining[1:]:
            await wait_until(lambda s=service: s.view("number") == {"a2": 7})
            await wait_until(lambda s=service: s.is_ended("a1", first))
        restarted = await self.start("a1")
        fleet = [restarted, *remaining]
        expected = relay_pairs("a1", "b1", "c1")
        await wait_until(lambda: links_between_zones(fleet) >= expected)
        restarted.publish("number", 8)
        values = {"a1": 8, "a2": 7}
        await wait_until(lambda: remaining[-1].view("number") == values)

    async def test_new_relay_forwards_what_the_old_one_did_not(self):
        first, second, third, remote = await self.start_all("a1", "a2", "a3", "b1")
        first._dialers["a3"].cancel()
        await wait_until(lambda: "a1" not in {peer.vm for peer in third.live()})
        remote.publish("number", 5)
        await wait_until(lambda: second.view("number") == {"b1": 5})
        self.assertEqual(third.view("number"), {})
        await self.stop("a1")
        await wait_until(lambda: third.view("number") == {"b1": 5})

    async def test_peers_behind_a_partition_are_suspect_and_not_ended(self):
        services = await self.start_fleet()
        local, remote = services[1], services[4:]
        incarnations = {s.settings.vm: s.incarnation for s in remote}
        streams = [s for service in services for s in self.streams_to(service, "c")]
        with Partition("c"):
            for stream in streams:
                stream.close()
            await wait_until(lambda: len(local.live()) == 3)
            for vm, incarnation in incarnations.items():
                self.assertFalse(local.is_ended(vm, incarnation))
            states = {peer.vm: peer.state for peer in local.peers()}
            self.assertEqual(states["c1"], PeerState.SUSPECT)
        await wait_until(lambda: len(local.live()) == 5)

    def streams_to(self, service: Membership, zone: str) -> list:
        own = service.settings.zone
        return [
            link.stream
            for vm, link in service._links.items()
            if link.is_up and own != vm[0] and zone in (own, vm[0])
        ]


class Partition:
    """Makes every connection attempt between a zone and the others time out."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.open = Link._open

    def __enter__(self) -> None:
        zone, original = self.zone, self.open

        async def open_unless_partitioned(link: Link, address: str, port: int) -> None:
            own = link._node.settings.zone
            if own != link.vm[0] and zone in (own, link.vm[0]):
                raise TimeoutError
            await original(link, address, port)

        Link._open = open_unless_partitioned

    def __exit__(self, *details: object) -> None:
        Link._open = self.open
