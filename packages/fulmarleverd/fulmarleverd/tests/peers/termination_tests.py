from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.peers.termination import MAX_VM_LIST_LAG_S, TerminationDetector

VM = "a2"


def refuse(
    detector: TerminationDetector, clock: ManualClock, times: int, step_s: float
) -> None:
    for _ in range(times):
        detector.record_refusal(VM)
        clock.advance(step_s)


def refuse_then(event: str):
    def run(detector: TerminationDetector, clock: ManualClock) -> None:
        refuse(detector, clock, 2, 1.5)
        getattr(detector, event)(*((VM, 5) if event == "record_alive" else (VM,)))
        refuse(detector, clock, 2, 1.5)

    return run


def read_list(*readings: tuple[float, list[str], float]):
    """Read the list after a pause, with its VMs and its age."""

    def run(detector: TerminationDetector, clock: ManualClock) -> None:
        for pause_s, vms, age_s in readings:
            clock.advance(pause_s)
            detector.record_vm_list(vms, age_s)

    return run


class EvidenceTests(TableTestCase):
    def test_evidence_about_a_heard_incarnation(self):
        old = MAX_VM_LIST_LAG_S + 1
        rows = [
            ("nothing", lambda d, c: None, False),
            ("a long silence", lambda d, c: c.advance(3600), False),
            ("two refusals", lambda d, c: refuse(d, c, 2, 3.0), False),
            ("refusals at once", lambda d, c: refuse(d, c, 20, 0.01), False),
            ("refusals over 2 s", lambda d, c: refuse(d, c, 4, 0.7), True),
            ("a connection between", refuse_then("clear_refusals"), False),
            ("a frame between", refuse_then("record_alive"), False),
            ("a higher incarnation", lambda d, c: d.record_alive(VM, 6), True),
            ("a lower incarnation", lambda d, c: d.record_alive(VM, 4), False),
            ("left the list", read_list((old, ["x"], 0), (6, ["x"], 0)), True),
            ("left a moment ago", read_list((old, ["x"], 0), (1, ["x"], 0)), False),
            (
                "one reading, then none",
                read_list((old, ["x"], 0), (9, ["x"], 9)),
                False,
            ),
            (
                "a list that flaps",
                read_list((old, ["x"], 0), (3, [VM], 0), (3, ["x"], 0)),
                False,
            ),
            ("a stale list", read_list((old, ["x"], 0), (60, ["x"], 60)), False),
            ("an empty list", read_list((old, [], 0), (60, [], 0)), False),
            ("a list that lags", read_list((1, ["x"], 0), (20, ["x"], 0)), False),
        ]
        for _, produce, expected in self.each(rows):
            clock = ManualClock()
            detector = TerminationDetector(clock)
            detector.record_alive(VM, 5)
            produce(detector, clock)
            self.assertEqual(detector.is_ended(VM, 5), expected)

    def test_refusals_before_the_first_notice_do_not_count(self):
        clock = ManualClock()
        detector = TerminationDetector(clock, [VM])
        refuse(detector, clock, 5, 1.0)
        self.assertFalse(detector.is_ended(VM, 9))
        refuse(detector, clock, 2, 1.0)
        self.assertFalse(detector.is_ended(VM, 9))
        refuse(detector, clock, 2, 1.0)
        self.assertTrue(detector.is_ended(VM, 9))

    def test_the_address_of_an_unheard_incarnation_is_trusted_late(self):
        for name, fixed, pause_s, expected in self.each(
            [
                ("from the list", [], 0.0, False),
                ("from the list, after its lag", [], MAX_VM_LIST_LAG_S, True),
                ("from the settings", [VM], 0.0, True),
            ]
        ):
            clock = ManualClock()
            detector = TerminationDetector(clock, fixed)
            detector.record_alive(VM, 5)
            detector.is_ended(VM, 9)
            clock.advance(pause_s)
            refuse(detector, clock, 4, 1.0)
            self.assertEqual(detector.is_ended(VM, 9), expected, name)

    def test_a_late_frame_of_an_ended_process_is_a_contradiction(self):
        clock = ManualClock()
        detector = TerminationDetector(clock)
        self.assertTrue(detector.record_alive(VM, 5))
        refuse(detector, clock, 4, 1.0)
        self.assertFalse(detector.record_alive(VM, 5))
        self.assertTrue(detector.is_ended(VM, 5))
        self.assertTrue(detector.record_alive(VM, 6))


class WorldMachine(RuleBasedStateMachine):
    """A VM that is stopped, frozen, cut, replaced and listed late.

    ``history`` keeps (time, listed, address) of the VM; the list shows any state of the
    last ``MAX_VM_LIST_LAG_S`` seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.detector = TerminationDetector(self.clock)
        self.incarnation = 1
        self.address = 1
        self.is_running = True
        self.is_frozen = False
        self.is_cut = False
        self.dialled_address = 1
        self.history = [(0.0, True, 1)]

    def _show(self, is_listed: bool) -> None:
        self.history.append((self.clock.monotonic(), is_listed, self.address))

    @rule(seconds=st.sampled_from([0.3, 0.7, 2.0, 6.0, 31.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def stop(self):
        self.is_running = False

    @rule(is_frozen=st.booleans(), is_cut=st.booleans())
    def disturb(self, is_frozen, is_cut):
        self.is_frozen = is_frozen
        self.is_cut = is_cut

    @rule(moves=st.booleans())
    def restart(self, moves):
        if self.is_running:
            return
        self.address += moves
        self.incarnation += 1
        self.is_running = True
        self.is_frozen = False
        self._show(True)

    @rule()
    def remove_vm(self):
        self.is_running = False
        self._show(False)

    @rule(times=st.integers(1, 4), step_s=st.sampled_from([0.1, 0.9]))
    def dial(self, times, step_s):
        for _ in range(times):
            is_there = self.is_running and self.dialled_address == self.address
            if not self.is_cut:
                record = (
                    self.detector.clear_refusals
                    if is_there
                    else self.detector.record_refusal
                )
                record(VM)
            self.clock.advance(step_s)

    @rule()
    def hear(self):
        if self.is_running and not self.is_frozen and not self.is_cut:
            self.detector.record_alive(VM, self.incarnation)
            self._learn(self.address)

    @rule(
        lag_s=st.floats(0.0, MAX_VM_LIST_LAG_S - 0.1), age_s=st.sampled_from([0.0, 3.0])
    )
    def read_list(self, lag_s, age_s):
        shown_at = self.clock.monotonic() - lag_s
        shown = [entry for entry in self.history if entry[0] <= shown_at]
        _, is_listed, address = shown[-1]
        if is_listed:
            self._learn(address)
        self.detector.record_vm_list([VM, "x"] if is_listed else ["x"], 0.0)

    def _learn(self, address: int) -> None:
        if address != self.dialled_address:
            self.dialled_address = address
            self.detector.clear_refusals(VM)

    @rule()
    def read_row(self):
        """Find the running incarnation in a row of the table."""
        self.detector.is_ended(VM, self.incarnation)

    @invariant()
    def a_running_process_is_never_proved_ended(self):
        is_ended = self.detector._ended.get(VM, -1) >= self.incarnation
        assert not (self.is_running and is_ended)


WorldMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)


class WorldTests(WorldMachine.TestCase, unittest.TestCase):
    pass
