"""Each rule of slot ownership, with a failure that only this rule survives."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from fulmarleverd.requests import ownership, pause_detector, slot_pool
from fulmarleverd.requests.share_row import ClosedSlots, ShareRow
from fulmarleverd.services.slots import Slots
from fulmarleverd.tests.requests.slot_world import VMS, SlotWorld

A, B, C = VMS
ALL = 16


def fill(world):
    for vm in VMS:
        world.begin(vm, ALL)
        world.check()


def cut_owner(world):
    """An owner that its peers cannot reach serves callers on its side of the cut."""
    world.cut(A, B)
    world.cut(A, C)
    world.cut_table(A)
    for vm in VMS:
        world.begin(vm, ALL)
    for _ in range(3):
        world.advance(20)
        fill(world)


def killed_owner(world):
    """Requests of an ended process still run at the servers."""
    world.begin(A, ALL)
    world.kill(A)
    world.prove_end(A)
    for _ in range(8):
        world.advance(1)
        fill(world)


def frozen_owner(world):
    """A process is stopped, its VM leaves the list, and the process wakes up."""
    world.freeze(A)
    world.drop_from_list(A)
    world.advance(40)
    world.begin(B, ALL)
    world.begin(C, ALL)
    world.thaw(A)
    fill(world)


def frozen_after_take(world):
    """The same, but the slot was taken before and the request is sent after."""
    daemon = world.daemons[A]
    slots = [daemon.slots.take("filling") for _ in range(ALL)]
    frozen_owner(world)
    world.refresh(A)
    for slot in filter(None, slots):
        if daemon.slots.pool.may_send(slot):
            world.hold(daemon, slot)
    world.check()


def late_release(world):
    """The write of a release takes effect long after its answer was lost."""
    world.kill(C)
    world.prove_end(C)
    world.advance(30)
    world.restart(C)
    world.refresh(A, "late")
    world.kill(C)
    world.refresh(A)
    world.begin(A, ALL)
    world.begin(B, ALL)
    world.land(A)
    world.restart(C)
    world.refresh(C)
    world.begin(C, ALL)


def abandoned_request(world):
    """A request that its daemon gave up goes on at the server."""
    world.begin(A, ALL)
    for index in range(ALL):
        world.abandon(index)
    fill(world)


def closed_twice(world):
    """An owner is closed, comes back, ends, and is closed again, unseen by another."""
    world.cut_table(C)
    world.drop_from_list(A)
    world.advance(4)
    world.heal_table(C)
    world.refresh(C)
    world.cut_table(C)
    world.return_to_list(A)
    world.advance(16)
    world.drop_from_list(A)
    world.refresh(B)
    world.advance(2)
    world.begin(A, ALL)
    world.refresh(B)
    world.kill(A)
    world.heal_table(C)
    world.advance(2)
    for _ in range(4):
        world.refresh(C)
        fill(world)


def longer_run_limit(world):
    """The former owner allowed longer requests than its successors do."""
    world.set_run_limit(A, 25.0)
    world.advance(2)
    world.begin(A, ALL)
    world.kill(A)
    world.prove_end(A)
    world.advance(20)
    fill(world)


def unconfirmed_gain(world):
    """The answer to a gain is lost, and another daemon gained the slots."""
    world.cut_table(B)
    world.kill(A)
    world.prove_end(A)
    world.advance(30)
    world.heal_table(B)
    world.refresh(B, "dropped")
    fill(world)


def surplus_in_use(world):
    """A new daemon wants slots on which its peers have requests in progress."""
    world.kill(C)
    world.prove_end(C)
    world.advance(30)
    fill(world)
    world.restart(C)
    for _ in range(4):
        world.refresh(A)
        world.refresh(B)
        world.refresh(C)
        fill(world)


def unreachable_is_ended(self, identity):
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


def gain_unconfirmed(self):
    for share in self.pool.shares.values():
        share.limit = share.server.slots


ROWS = (
    ("cut owner", cut_owner, Slots, "_is_ended", unreachable_is_ended),
    ("killed owner", killed_owner, ownership, "CLOSED_MARGIN_S", -100.0),
    ("frozen owner", frozen_owner, pause_detector, "MAX_PAUSE_S", 1e9),
    ("frozen after take", frozen_after_take, slot_pool, "MAX_PAUSE_S", 1e9),
    (
        "late release",
        late_release,
        ownership.Ownership,
        "mark_write_unknown",
        lambda self: self._reduced_limits.clear(),
    ),
    (
        "abandoned request",
        abandoned_request,
        slot_pool.SlotPool,
        "return_to_pool",
        free_slot_at_once,
    ),
    ("closed twice", closed_twice, ShareRow, "close_slots", close_without_epoch),
    (
        "longer run limit",
        longer_run_limit,
        ownership.Ownership,
        "_closed_duration_s",
        lambda self, row, name: 10.0 + ownership.CLOSED_MARGIN_S,
    ),
    (
        "unconfirmed gain",
        unconfirmed_gain,
        ownership.Ownership,
        "mark_write_unknown",
        gain_unconfirmed,
    ),
    (
        "surplus in use",
        surplus_in_use,
        ownership.Ownership,
        "_release",
        release_at_once,
    ),
)


class NaiveOwnershipTests(unittest.TestCase):
    def run_script(self, script):
        world = SlotWorld()
        try:
            world.advance(6)
            script(world)
            world.check()
        finally:
            world.close()

    def test_rule_keeps_servers_within_their_slots(self):
        for name, script, _, _, _ in ROWS:
            with self.subTest(name):
                self.run_script(script)

    def test_without_the_rule_a_server_is_overrun(self):
        for name, script, owner, attribute, naive in ROWS:
            with (
                self.subTest(name),
                patch.object(owner, attribute, naive),
                self.assertRaisesRegex(AssertionError, "overrun"),
            ):
                self.run_script(script)
