from __future__ import annotations

import asyncio

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.tests.base import wait_until
from fulmarlever.timeline import TimelineQuery
from fulmarleverd.peers.roster import PeerState
from fulmarleverd.tests.peers.cluster import ClusterTestCase, Echo


class MembershipTests(ClusterTestCase):
    async def test_topics_reach_every_peer_and_disappear_when_their_daemon_ends(self):
        first, second, third = await self.start_all("a1", "a2", "b1")
        first.publish("load", {"free": 3})
        for service in (second, third):
            await wait_until(lambda s=service: s.view("load") == {"a1": {"free": 3}})
        await self.stop("a1")
        await wait_until(lambda: second.view("load") == {})

    async def test_unpaced_topics_do_not_wait_for_a_heartbeat(self):
        self.assign_addresses("a1", "a2")
        first = await self.start("a1", heartbeat_s=3600.0)
        second = await self.start("a2", heartbeat_s=3600.0)
        await wait_until(lambda: first.live() and second.live())
        for number in (1, 2):
            first.publish("number", number)
            await wait_until(lambda n=number: second.view("number") == {"a1": n})

    async def test_calls_are_answered(self):
        first, second = await self.start_all("a1", "a2")

        async def echo(req: Echo) -> Echo:
            return Echo(req.text.upper())

        second.handle(Echo, echo)
        answer = await first.call("a2", Echo("hello"), 5.0)
        self.assertEqual(answer, Echo("HELLO"))

    async def test_failures_of_calls_say_whether_the_handler_ran(self):
        first, second = await self.start_all("a1", "a2")

        async def sleep(req: Echo) -> Echo:
            await asyncio.sleep(req.delay_s)
            raise ValueError(req.text)

        self.assertIsInstance(await first.call("a2", Echo("x"), 5.0), Unavailable)
        self.assertIsInstance(await first.call("zz", Echo("x"), 5.0), Unavailable)
        second.handle(Echo, sleep)
        for delay_s in (0.0, 1.0):
            answer = await first.call("a2", Echo("x", delay_s), 0.5)
            self.assertIsInstance(answer, OutcomeUnknown)

    async def test_end_of_a_peer_is_proved_and_its_successor_is_alive(self):
        first, second = await self.start_all("a1", "a2")
        old = second.incarnation
        self.assertFalse(first.is_ended("a2", old))
        await self.stop("a2")
        await wait_until(lambda: first.is_ended("a2", old))
        await wait_until(lambda: first.peers()[0].state == PeerState.ENDED)
        second = await self.start("a2")
        await wait_until(lambda: first.live("a"))
        self.assertTrue(first.is_ended("a2", old))
        self.assertFalse(first.is_ended("a2", second.incarnation))

    async def test_a_clock_set_back_does_not_lower_the_incarnation(self):
        first, second = await self.start_all("a1", "a2")
        ahead = second.incarnation + 10**9
        first._node.termination.track("a2", ahead)
        await self.stop("a2")
        second = await self.start("a2")
        self.assertEqual(second.incarnation, ahead + 1)

    async def test_merged_timeline_names_unreachable_peers(self):
        self.assign_addresses("a1", "a2", "a3")
        first, _ = await self.start("a1"), await self.start("a2")
        await wait_until(lambda: len(first.live()) == 1)
        timelines = {vm: self.kernels[vm].find("timeline") for vm in ("a1", "a2")}
        query = TimelineQuery(kind="test.")
        timelines["a1"].record("test.event", detail="a1")
        # Events without a message between them have no order within a millisecond.
        await timelines["a1"].merged(query, 0.5)
        timelines["a2"].record("test.event", detail="a2")
        merged = await timelines["a1"].merged(query, 0.5)
        self.assertEqual([event.vm for event in merged.events], ["a1", "a2"])
        self.assertEqual(list(merged.unreachable), ["a3"])
