"""Tests that each rule of slot ownership is needed.

Each rule is listed with a scenario in which the servers stay within their slots, and
with a replacement of the rule under which a server gets too many requests.
"""

from __future__ import annotations

import unittest
from contextlib import ExitStack
from unittest.mock import patch

from fulmarleverd.requests import ownership, pause_detector, slot_pool
from fulmarleverd.requests.share_row import ClosedSlots, ShareRow
from fulmarleverd.services.slots import Slots
from fulmarleverd.tests.requests.zone_model import VMS, ZoneModel

A, B, C = VMS
ALL = 16


def fill_all_slots(model):
    for vm in VMS:
        model.send_requests(vm, ALL)
        model.check()


def disconnected_owner(model):
    """An owner that its peers cannot reach continues to serve callers."""
    model.disconnect(A, B)
    model.disconnect(A, C)
    model.disconnect_table(A)
    for vm in VMS:
        model.send_requests(vm, ALL)
    for _ in range(3):
        model.advance(20)
        fill_all_slots(model)


def killed_owner(model):
    """The process of an owner ends while its requests still run at the servers."""
    model.send_requests(A, ALL)
    model.kill(A)
    model.prove_end(A)
    for _ in range(8):
        model.advance(1)
        fill_all_slots(model)


def frozen_owner(model):
    """A process is suspended, its VM disappears from the VM list, and it resumes."""
    model.freeze(A)
    model.drop_from_list(A)
    model.advance(40)
    model.send_requests(B, ALL)
    model.send_requests(C, ALL)
    model.resume(A)
    fill_all_slots(model)


def frozen_after_take(model):
    """A process takes a slot, is suspended, and sends the request after it resumes."""
    daemon = model.daemons[A]
    slots = [daemon.slots.take("filling") for _ in range(ALL)]
    frozen_owner(model)
    model.refresh(A)
    for slot in filter(None, slots):
        if daemon.slots.pool.may_send(slot):
            model.start_run(daemon, slot)
    model.check()


def late_release(model):
    """The write that releases slots takes effect long after its answer was lost."""
    model.kill(C)
    model.prove_end(C)
    model.advance(30)
    model.restart(C)
    model.refresh(A, "late")
    model.kill(C)
    model.refresh(A)
    model.send_requests(A, ALL)
    model.send_requests(B, ALL)
    model.apply_late_write(A)
    model.restart(C)
    model.refresh(C)
    model.send_requests(C, ALL)


def abandoned_request(model):
    """A request continues to run at the server after its daemon abandoned it."""
    model.send_requests(A, ALL)
    for index in range(ALL):
        model.abandon(index)
    fill_all_slots(model)


def closed_twice(model):
    """An owner's slots are closed twice, and a daemon misses that they were restored.

    The daemon must wait from the second closing, not from the first.
    """
    model.disconnect_table(C)
    model.drop_from_list(A)
    model.advance(4)
    model.restore_table(C)
    model.refresh(C)
    model.disconnect_table(C)
    model.return_to_list(A)
    model.advance(16)
    model.drop_from_list(A)
    model.refresh(B)
    model.advance(2)
    model.send_requests(A, ALL)
    model.refresh(B)
    model.kill(A)
    model.restore_table(C)
    model.advance(2)
    for _ in range(4):
        model.refresh(C)
        fill_all_slots(model)


def owner_without_table(model):
    """An owner missing from the VM list cannot restore its slots, and is killed."""
    fill_all_slots(model)
    model.drop_from_list(A)
    model.advance(3)
    fill_all_slots(model)
    model.set_table(False)
    for _ in range(25):
        model.advance(1)
        fill_all_slots(model)
    model.set_table(True)
    model.kill(A)
    model.prove_end(A)
    for _ in range(3):
        model.advance(1)
        fill_all_slots(model)


def longer_run_limit(model):
    """The former owner had a longer run limit than its successors."""
    model.set_run_limit(A, 25.0)
    model.advance(2)
    model.send_requests(A, ALL)
    model.kill(A)
    model.prove_end(A)
    model.advance(20)
    fill_all_slots(model)


def unconfirmed_gain(model):
    """The write that acquires slots gets no answer, and it did not take effect."""
    model.disconnect_table(B)
    model.kill(A)
    model.prove_end(A)
    model.advance(30)
    model.restore_table(B)
    model.refresh(B, "dropped")
    fill_all_slots(model)


def surplus_in_use(model):
    """A new daemon needs slots on which its peers have requests in progress."""
    model.kill(C)
    model.prove_end(C)
    model.advance(30)
    fill_all_slots(model)
    model.restart(C)
    for _ in range(4):
        model.refresh(A)
        model.refresh(B)
        model.refresh(C)
        fill_all_slots(model)


def unreachable_counts_as_ended(self, identity):
    vm, _ = ownership.split_identity(identity)
    return vm not in {peer.vm for peer in self.membership.live()}


def free_slot_at_once(self, slot, has_ended=True):
    self._free_slot(slot)


def close_without_epoch(self, server, owner):
    self.closed.setdefault(server, {})[owner] = ClosedSlots(
        self.owned(server, owner), 0
    )
    self.set_share(server, owner, 0)


def release_at_once(self, row, view):
    for name in self.pool.shares:
        row.set_share(
            name, self.identity, min(self._slots_to_keep(name, row, view), ALL)
        )
    return True


def use_unconfirmed_slots(self):
    for share in self.pool.shares.values():
        share.limit = share.server.slots


# Name, scenario, and what replaces the rules that keep it within the slots.
RULES = (
    (
        "disconnected owner",
        disconnected_owner,
        [(Slots, "_is_ended", unreachable_counts_as_ended)],
    ),
    ("killed owner", killed_owner, [(ownership, "CLOSED_MARGIN_S", -100.0)]),
    ("frozen owner", frozen_owner, [(pause_detector, "MAX_PAUSE_S", 1e9)]),
    ("frozen after take", frozen_after_take, [(slot_pool, "MAX_PAUSE_S", 1e9)]),
    (
        "late release",
        late_release,
        [
            (
                ownership.Ownership,
                "mark_write_unknown",
                lambda self: self._reduced_limits.clear(),
            )
        ],
    ),
    (
        "abandoned request",
        abandoned_request,
        [(slot_pool.SlotPool, "return_to_pool", free_slot_at_once)],
    ),
    # Either of the two rules is enough here.
    (
        "closed twice",
        closed_twice,
        [
            (ShareRow, "close_slots", close_without_epoch),
            (ownership, "MAX_READ_GAP_S", 1e9),
        ],
    ),
    (
        "owner that could not restore",
        owner_without_table,
        [(ownership, "MAX_READ_GAP_S", 1e9)],
    ),
    (
        "longer run limit",
        longer_run_limit,
        [
            (
                ownership.Ownership,
                "_closed_duration_s",
                lambda self, row, name: 10.0 + ownership.CLOSED_MARGIN_S,
            )
        ],
    ),
    (
        "unconfirmed gain",
        unconfirmed_gain,
        [(ownership.Ownership, "mark_write_unknown", use_unconfirmed_slots)],
    ),
    (
        "surplus in use",
        surplus_in_use,
        [(ownership.Ownership, "_release", release_at_once)],
    ),
)


class NaiveOwnershipTests(unittest.TestCase):
    def run_scenario(self, scenario):
        model = ZoneModel()
        try:
            model.advance(6)
            scenario(model)
            model.check()
        finally:
            model.close()

    def test_rule_keeps_servers_within_their_slots(self):
        for name, scenario, _ in RULES:
            with self.subTest(name):
                self.run_scenario(scenario)

    def test_without_the_rule_a_server_is_overrun(self):
        for name, scenario, replacements in RULES:
            with self.subTest(name), ExitStack() as stack:
                for replacement in replacements:
                    stack.enter_context(patch.object(*replacement))
                with self.assertRaisesRegex(AssertionError, "overrun"):
                    self.run_scenario(scenario)
