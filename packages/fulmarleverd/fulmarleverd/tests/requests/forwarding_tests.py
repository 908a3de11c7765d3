from __future__ import annotations

import asyncio
import json
from collections import Counter

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.structure.request import Answer, Forward, Forwarded
from fulmarlever.tests.base import wait_until
from fulmarlever.tests.ports import free_port
from fulmarleverd.settings import PeerSettings
from fulmarleverd.tests.peers.cluster import SECRET
from fulmarleverd.tests.requests.path_base import PathTestCase


class ForwardingTests(PathTestCase):
    """Tests with two zones, of which only zone b has slots."""

    async def start_two_zones(self):
        (self.server,) = await self.serve(zone="b")
        self.near = await self.daemon("entry-a-1", zone="a")
        self.far = [await self.daemon(f"entry-b-{i}", zone="b") for i in (1, 2)]
        await self.wait_for_slots(*self.far)
        await wait_until(
            lambda: all(
                self.near.find("membership").view("load").get(vm)
                for vm in ("entry-b-1", "entry-b-2")
            )
        )

    def reply_always(self, kernel, reply):
        """Make a daemon send ``reply`` to forwarded requests, and return these."""
        received = []

        async def handler(message):
            received.append(message)
            return reply

        kernel.find("membership").handle(Forward, handler)
        return received

    async def test_request_goes_to_another_zone_when_its_own_has_no_slot(self):
        await self.start_two_zones()
        results = [await self.ask(self.near) for _ in range(20)]
        self.assertEqual(Counter(r[0] for r in results), {200: 20})

    async def test_request_that_a_peer_did_not_run_goes_to_the_next(self):
        await self.start_two_zones()
        reply = Forwarded(None, False, "full", 1.0, 503)
        received = self.reply_always(self.far[0], reply)
        for _ in range(10):
            status, _, _ = await self.ask(self.near, method="POST")
            self.assertEqual(status, 200)
        self.assertGreater(len(received), 0)

    async def test_lost_peer_is_an_unknown_outcome_without_a_retry(self):
        await self.start_two_zones()
        received = [self.reply_always(k, OutcomeUnknown("lost")) for k in self.far]
        status, _, body = await self.ask(self.near, method="POST")
        self.assertEqual((status, json.loads(body)["outcome"]), (502, "unknown"))
        self.assertEqual(len(received[0]) + len(received[1]), 1)

    async def test_idempotent_request_stays_unknown_after_a_lost_attempt(self):
        await self.start_two_zones()
        replies = (OutcomeUnknown("lost"), Unavailable("no stream"))
        calls = iter(replies * 5)

        async def call(vm, message, timeout_s):
            return next(calls)

        self.near.find("membership").call = call
        status, _, body = await self.ask(self.near)
        self.assertEqual((status, json.loads(body)["outcome"]), (502, "unknown"))

    async def test_forwarded_request_is_not_forwarded_again(self):
        await self.start_two_zones()
        received = [
            self.reply_always(k, Forwarded(None, False, "full")) for k in self.far
        ]
        status, _, _ = await self.ask(self.near)
        self.assertEqual(status, 503)
        messages = received[0] + received[1]
        self.assertLessEqual(len(messages), 2)
        for message in messages:
            self.assertEqual(message.hops, 0)
            self.assertIn("entry-a-1", message.visited)

    async def test_draining_daemon_runs_no_new_forwarded_request(self):
        await self.start_two_zones()
        router = self.far[0].find("router")
        self.far[0].is_draining = True
        message = Forward("filling", "GET", "/", [], b"", "r", "", 5.0, 0, [])
        reply = await router.handle_forward(message)
        self.assertIsNone(reply.answer)
        self.assertFalse(reply.is_unknown)
        self.far[0].is_draining = False

    async def test_all_callers_at_one_daemon_get_the_slots_of_the_whole_zone(self):
        (server,) = await self.serve()
        kernels = [await self.daemon(f"entry-a-{i}") for i in range(1, 5)]
        await self.wait_for_slots(*kernels)
        concurrent = asyncio.Semaphore(32)

        async def ask():
            async with concurrent:
                return await self.ask(kernels[0], headers={"X-Work-Ms": "20"})

        results = await asyncio.gather(*(ask() for _ in range(200)))
        self.assertEqual(Counter(r[0] for r in results), {200: 200})
        self.assertEqual(server.max_in_progress, 8)


class MembershipTests(PathTestCase):
    """Tests of forwarding over real connections between peers."""

    async def test_request_is_forwarded_over_the_peer_stream(self):
        self.network = None
        (server,) = await self.serve(zone="b")
        endpoints = [
            PeerSettings(f"entry-{zone}-1", zone, "127.0.0.1", free_port())
            for zone in ("a", "b")
        ]
        kernels = [
            await self.daemon(
                endpoint.vm,
                zone=endpoint.zone,
                peer_port=endpoint.port,
                peers=tuple(p for p in endpoints if p is not endpoint),
                peer_secret=SECRET,
                heartbeat_s=0.05,
            )
            for endpoint in endpoints
        ]
        await self.wait_for_slots(kernels[1])
        membership = kernels[0].find("membership")
        await wait_until(lambda: membership.view("load").get("entry-b-1"))
        headers = {"X-Request-Id": "far", "X-Answer-Bytes": "100000"}
        status, _, body = await self.ask(
            kernels[0], method="POST", data=b"order", headers=headers
        )
        self.assertEqual((status, len(body)), (200, 100009))
        self.assertEqual(server.runs["far"], 1)


class OldSetupTests(PathTestCase):
    async def test_fraction_goes_to_the_old_setup_and_repeats_follow_it(self):
        (new,) = await self.serve()
        (old,) = await self.serve(zone="elsewhere")
        specs = (self.specs[0].__class__("filling", "portland", new_share=0.5),)
        address = f"127.0.0.1:{old.port}"
        kernel = await self.daemon(specs=specs, old_setup=address)
        await self.wait_for_slots(kernel)
        header_names = set()
        for number in range(60):
            headers = {"X-Request-Id": f"r{number % 30}"}
            status, got, body = await self.ask(kernel, headers=headers)
            self.assertEqual((status, body), (200, f"r{number % 30}:".encode()))
            header_names.add(tuple(sorted(name for name in got if name != "Date")))
        self.assertEqual(len(header_names), 1)
        self.assertEqual(set(old.runs.values()) | set(new.runs.values()), {2})
        self.assertGreater(len(old.runs), 5)
        self.assertGreater(len(new.runs), 5)

    async def test_request_to_an_unreachable_old_setup_is_not_run(self):
        await self.serve()
        specs = (self.specs[0].__class__("filling", "portland", new_share=0.0),)
        kernel = await self.daemon(specs=specs, old_setup=f"127.0.0.1:{free_port()}")
        status, _, body = await self.ask(kernel, method="POST")
        self.assertEqual((status, json.loads(body)["outcome"]), (503, "not-run"))


class WireTests(PathTestCase):
    def test_answers_and_forwards_equal_their_decoded_wire_forms(self):
        answer = Answer(201, [("A", "1"), ("A", "2")], b"\x00\xff")
        self.assertEqual(Answer.from_wire(answer.to_wire()), answer)
        self.assertEqual(Answer.from_row(answer.to_row()), answer)
        self.assertEqual(Forwarded.from_result(answer).to_result(), answer)
