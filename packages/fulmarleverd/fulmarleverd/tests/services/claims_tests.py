from __future__ import annotations

import asyncio
import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import InProgress, NotRun, OutcomeUnknown
from fulmarlever.structure.request import Answer
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.services.claims import Claim, Claims
from fulmarleverd.tests.base import make_kernel
from fulmarleverd.tests.requests.fakes import FakeMembership, FakeNetwork, spec
from fulmarleverd.tests.requests.path_base import PathTestCase
from fulmarleverd.tests.requests.zone_model import FaultyPlatform

VMS = ("entry-a-1", "entry-b-1", "entry-c-1")
WRITE_FAULTS = ("ok", "lost", "dropped", "late", "down")
ANSWER = Answer(201, [("X-Order", "7")], b"\x00filled")


class ClaimMachine(RuleBasedStateMachine):
    """Three daemons get requests with the same key while their writes fail."""

    claims_class = Claims

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.network = FakeNetwork()
        self.daemons = {vm: self.build(vm, 1) for vm in VMS}
        self.open = []
        self.runs = 0

    def build(self, vm, incarnation):
        kernel = make_kernel(self.clock, vm=vm)
        kernel.add(FaultyPlatform(kernel, self.table))
        kernel.add(FakeMembership(kernel, self.network, incarnation))
        claims = self.claims_class(kernel)
        self.loop.run_until_complete(claims.start())
        return claims

    def teardown(self):
        for claims in self.daemons.values():
            self.loop.run_until_complete(claims.stop())
        self.loop.close()

    def record(self, step, *args):
        """Run a call that records in the background until the recording has started."""

        async def call():
            result = step(*args)
            if asyncio.iscoroutine(result):
                asyncio.ensure_future(result)
            for _ in range(10):
                await asyncio.sleep(0)

        self.loop.run_until_complete(call())

    @invariant()
    def the_request_runs_at_most_once(self):
        assert self.runs <= 1, "ran twice"

    @rule(vm=st.sampled_from(VMS), write_fault=st.sampled_from(WRITE_FAULTS))
    def repeat(self, vm, write_fault):
        claims = self.daemons[vm]
        claims.platform.is_table_up = write_fault != "down"
        claims.platform.write_fault = "ok" if write_fault == "down" else write_fault
        begun = self.loop.run_until_complete(claims.begin("filling", "k", "digest"))
        claims.platform.is_table_up = True
        claims.platform.write_fault = "ok"
        if isinstance(begun, Claim):
            self.open.append((vm, begun))
        elif isinstance(begun, Answer):
            assert begun == ANSWER
        else:
            assert isinstance(begun, InProgress | NotRun | OutcomeUnknown)

    @rule(vm=st.sampled_from(VMS))
    def apply_late_write(self, vm):
        self.daemons[vm].platform.apply_late_write()

    @rule(write_fault=st.sampled_from(WRITE_FAULTS[:4]), is_known=st.booleans())
    def run(self, write_fault, is_known):
        if self.open:
            vm, claim = self.open.pop()
            self.runs += 1
            answer = ANSWER if is_known else Answer(502, outcome="unknown")
            self.daemons[vm].platform.write_fault = write_fault
            self.record(self.daemons[vm].finish, claim, answer)

    @rule(write_fault=st.sampled_from(WRITE_FAULTS[:4]))
    def release(self, write_fault):
        if self.open:
            vm, claim = self.open.pop()
            self.daemons[vm].platform.write_fault = write_fault
            self.record(self.daemons[vm].release, claim)

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm):
        old = self.daemons[vm]
        identity = old.membership.identity
        self.network.ended.add(identity)
        self.open = [(name, claim) for name, claim in self.open if name != vm]
        self.loop.run_until_complete(old.stop())
        self.daemons[vm] = self.build(vm, int(identity.rpartition("#")[2]) + 1)


class ClaimMachineTests(ClaimMachine.TestCase):
    settings = settings(max_examples=100, stateful_step_count=30)


class ClaimPathTests(PathTestCase):
    specs = (spec(), spec("pickups", claim_required=False))

    async def asyncSetUp(self):
        await super().asyncSetUp()
        (self.server,) = await self.serve()
        self.kernels_by_vm = [await self.daemon(f"entry-a-{i}") for i in (1, 2)]
        await self.wait_for_slots(*self.kernels_by_vm)

    def platform(self, index):
        return self.kernels_by_vm[index].find("platform")

    async def post(self, index, key="k", body="order", **headers):
        headers = {"Idempotency-Key": key, "X-Request-Id": key, **headers}
        return await self.ask(
            self.kernels_by_vm[index], method="POST", data=body, headers=headers
        )

    async def test_repeated_key_gets_the_same_answer_from_another_daemon(self):
        first = await self.post(0)
        second = await self.post(1)
        self.assertEqual((first[0], first[2]), (200, b"k:order"))
        self.assertEqual((second[0], second[2]), (200, b"k:order"))
        self.assertEqual(self.server.runs["k"], 1)

    async def test_many_repeats_at_once_run_once(self):
        headers = {"X-Work-Ms": "1000"}
        results = await asyncio.gather(
            *(self.post(i % 2, **headers) for i in range(20))
        )
        statuses = sorted(status for status, _, _ in results)
        self.assertEqual(statuses, [200] + [409] * 19)
        outcomes = {json.loads(body)["outcome"] for s, _, body in results if s == 409}
        self.assertEqual(outcomes, {"unknown"})
        self.assertEqual(self.server.runs["k"], 1)

    async def test_same_key_with_another_body_is_refused(self):
        await self.post(0)
        status, _, body = await self.post(1, body="another order")
        self.assertEqual((status, json.loads(body)["outcome"]), (422, "not-run"))

    async def test_unknown_outcome_stays_unknown(self):
        for index in (0, 1, 0):
            status, _, body = await self.post(index, **{"X-Fault": "close"})
            self.assertEqual((status, json.loads(body)["outcome"]), (502, "unknown"))
            await asyncio.sleep(0.05)
        self.assertEqual(self.server.runs["k"], 1)

    async def test_table_down_refuses_unless_the_service_allows_it(self):
        self.platform(0).is_table_up = False
        status, headers, body = await self.post(0)
        self.assertEqual((status, json.loads(body)["outcome"]), (503, "not-run"))
        self.assertGreaterEqual(int(headers["Retry-After"]), 1)
        self.assertEqual(self.server.runs["k"], 0)
        claims = self.kernels_by_vm[0].find("claims")
        begun = await claims.begin("pickups", "k", "digest", False)
        self.assertIsInstance(begun, Claim)

    async def test_claim_is_read_back_when_its_answer_was_lost(self):
        self.platform(0).lose_answers = 1
        status, _, _ = await self.post(0)
        self.assertEqual((status, self.server.runs["k"]), (200, 1))

    async def test_claim_of_a_request_that_did_not_run_is_released(self):
        await self.server.stop()
        status, _, _ = await self.post(0)
        self.assertEqual(status, 503)
        await asyncio.sleep(0.05)
        self.assertEqual(self.table.read(prefixes=["claim/"]), [])
