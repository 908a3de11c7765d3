from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fulmarleverd.tests.requests.slot_world import SERVERS, SLOTS, VMS, SlotWorld

vms = st.sampled_from(VMS)
fates = st.sampled_from(("ok", "lost", "dropped", "late", "held"))
ends = st.sampled_from(("ok", "lost", "dropped", "late"))
indexes = st.integers(0, 50)


class OwnershipMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = SlotWorld()
        self.world.advance(6)

    def teardown(self):
        self.world.close()

    @invariant()
    def no_server_has_more_requests_than_slots_under_full_load(self):
        for vm in VMS:
            self.world.begin(vm, SERVERS * SLOTS)
        self.world.check()

    @rule(vm=vms, fate=fates)
    def refresh(self, vm, fate):
        self.world.refresh(vm, fate)

    @rule(vm=vms, fate=ends)
    def release(self, vm, fate):
        self.world.release(vm, fate)

    @rule(vm=vms)
    def land(self, vm):
        self.world.land(vm)

    @rule(indexes=st.lists(indexes, max_size=16))
    def answer(self, indexes):
        for index in indexes:
            self.world.answer(index)

    @rule(vm=vms)
    def answer_all(self, vm):
        for run in [r for r in self.world.runs if r.daemon.vm == vm]:
            self.world.answer(self.world.runs.index(run))

    @rule(index=indexes)
    def abandon(self, index):
        self.world.abandon(index)

    @rule(vm=vms, seconds=st.sampled_from((3, 10, 25)))
    def lose(self, vm, seconds):
        self.world.freeze(vm)
        self.world.drop_from_list(vm)
        self.world.advance(seconds)

    @rule(vm=vms)
    def isolate(self, vm):
        self.world.cut_table(vm)
        for other in VMS:
            self.world.cut(vm, other)

    @rule(seconds=st.sampled_from((1, 3, 10, 25)))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(vm=vms, is_proved=st.booleans())
    def kill(self, vm, is_proved):
        self.world.kill(vm)
        if is_proved:
            self.world.prove_end(vm)

    @rule(vm=vms)
    def restart(self, vm):
        self.world.restart(vm)

    @rule(vm=vms, is_frozen=st.booleans())
    def freeze(self, vm, is_frozen):
        (self.world.freeze if is_frozen else self.world.thaw)(vm)

    @rule(vm=vms, is_dropped=st.booleans())
    def flap_list(self, vm, is_dropped):
        (self.world.drop_from_list if is_dropped else self.world.return_to_list)(vm)

    @rule()
    def heal(self):
        self.world.heal()

    @rule(vm=vms, is_up=st.booleans())
    def reach_table(self, vm, is_up):
        (self.world.heal_table if is_up else self.world.cut_table)(vm)

    @rule(is_up=st.booleans())
    def set_table(self, is_up):
        self.world.set_table(is_up)

    @rule(vm=vms, seconds=st.sampled_from((2.0, 10.0, 20.0)))
    def set_run_limit(self, vm, seconds):
        self.world.set_run_limit(vm, seconds)

    @rule(count=st.integers(1, 2))
    def set_servers(self, count):
        self.world.set_servers(count)


class OwnershipTests(OwnershipMachine.TestCase):
    settings = settings(max_examples=150, stateful_step_count=50)


class RecoveryTests(unittest.TestCase):
    def setUp(self):
        self.world = SlotWorld()
        self.addCleanup(self.world.close)
        self.world.advance(6)

    def total(self):
        return sum(self.world.owned(vm) for vm in self.world.daemons)

    def test_live_daemons_own_every_slot(self):
        self.assertEqual(self.total(), 2 * SLOTS)

    def test_slots_of_an_ended_owner_come_back_after_the_wait(self):
        self.world.kill(VMS[0])
        self.world.prove_end(VMS[0])
        self.world.advance(12)
        self.assertLess(self.total(), 2 * SLOTS)
        self.world.advance(20)
        self.assertEqual(self.total(), 2 * SLOTS)

    def test_owner_that_the_list_lost_for_a_while_keeps_its_slots(self):
        before = {vm: self.world.owned(vm) for vm in VMS}
        self.world.drop_from_list(VMS[1])
        self.world.advance(40)
        self.assertEqual({vm: self.world.owned(vm) for vm in VMS}, before)

    def test_restarted_daemon_gets_a_share_again(self):
        self.world.kill(VMS[0])
        self.world.restart(VMS[0])
        self.world.advance(40)
        self.assertGreater(self.world.owned(VMS[0]), 0)
        self.assertEqual(self.total(), 2 * SLOTS)

    def test_shares_stay_while_the_table_is_away(self):
        self.world.set_table(False)
        self.world.advance(60)
        self.assertEqual(self.total(), 2 * SLOTS)
