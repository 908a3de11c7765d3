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


def read_vm_list(*readings: tuple[float, list[str], float]):
    """Record VM lists; each reading has a pause before it, VMs and an age."""

    def run(detector: TerminationDetector, clock: ManualClock) -> None:
        for pause_s, vms, age_s in readings:
            clock.advance(pause_s)
            detector.record_vm_list(vms, age_s)

    return run


class EvidenceTests(TableTestCase):
    def test_evidence_about_an_incarnation_that_sent_a_frame(self):
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
            ("left the list", read_vm_list((old, ["x"], 0), (6, ["x"], 0)), True),
            (
                "left the list 1 s ago",
                read_vm_list((old, ["x"], 0), (1, ["x"], 0)),
                False,
            ),
            (
                "one reading, then none",
                read_vm_list((old, ["x"], 0), (9, ["x"], 9)),
                False,
            ),
            (
                "a list that flaps",
                read_vm_list((old, ["x"], 0), (3, [VM], 0), (3, ["x"], 0)),
                False,
            ),
            ("a stale list", read_vm_list((old, ["x"], 0), (60, ["x"], 60)), False),
            ("an empty list", read_vm_list((old, [], 0), (60, [], 0)), False),
            ("a list that lags", read_vm_list((1, ["x"], 0), (20, ["x"], 0)), False),
        ]
        for _, produce, expected in self.each(rows):
            clock = ManualClock()
            detector = TerminationDetector(clock)
            detector.record_alive(VM, 5)
            produce(detector, clock)
            self.assertEqual(detector.is_ended(VM, 5), expected)

    def test_refusals_before_an_incarnation_is_tracked_do_not_count(self):
        clock = ManualClock()
        detector = TerminationDetector(clock, [VM])
        refuse(detector, clock, 5, 1.0)
        self.assertFalse(detector.is_ended(VM, 9))
        refuse(detector, clock, 2, 1.0)
        self.assertFalse(detector.is_ended(VM, 9))
        refuse(detector, clock, 2, 1.0)
        self.assertTrue(detector.is_ended(VM, 9))

    def test_listed_address_of_a_new_incarnation_is_trusted_after_the_list_lag(self):
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

    def test_late_frame_of_an_ended_incarnation_is_reported(self):
        clock = ManualClock()
        detector = TerminationDetector(clock)
        self.assertTrue(detector.record_alive(VM, 5))
        refuse(detector, clock, 4, 1.0)
        self.assertFalse(detector.record_alive(VM, 5))
        self.assertTrue(detector.is_ended(VM, 5))
        self.assertTrue(detector.record_alive(VM, 6))


class VMStateMachine(RuleBasedStateMachine):
    """A VM that stops, freezes, is partitioned, restarts and is listed with a delay.

    ``list_history`` holds ``(time, is_listed, address)`` of the VM; a read of the VM
    list returns any of its states of the last ``MAX_VM_LIST_LAG_S`` seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.detector = TerminationDetector(self.clock)
        self.incarnation = 1
        self.address = 1
        self.is_running = True
        self.is_frozen = False
        self.is_partitioned = False
        self.dialled_address = 1
        self.list_history = [(0.0, True, 1)]

    def _record_list_state(self, is_listed: bool) -> None:
        self.list_history.append((self.clock.monotonic(), is_listed, self.address))

    @rule(seconds=st.sampled_from([0.3, 0.7, 2.0, 6.0, 31.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def stop(self):
        self.is_running = False

    @rule(is_frozen=st.booleans(), is_partitioned=st.booleans())
    def freeze_or_partition(self, is_frozen, is_partitioned):
        self.is_frozen = is_frozen
        self.is_partitioned = is_partitioned

    @rule(has_new_address=st.booleans())
    def restart(self, has_new_address):
        if self.is_running:
            return
        self.address += has_new_address
        self.incarnation += 1
        self.is_running = True
        self.is_frozen = False
        self._record_list_state(True)

    @rule()
    def remove_vm(self):
        self.is_running = False
        self._record_list_state(False)

    @rule(times=st.integers(1, 4), step_s=st.sampled_from([0.1, 0.9]))
    def dial(self, times, step_s):
        for _ in range(times):
            is_listening = self.is_running and self.dialled_address == self.address
            if not self.is_partitioned:
                record = (
                    self.detector.clear_refusals
                    if is_listening
                    else self.detector.record_refusal
                )
                record(VM)
            self.clock.advance(step_s)

    @rule()
    def receive_frame(self):
        if self.is_running and not self.is_frozen and not self.is_partitioned:
            self.detector.record_alive(VM, self.incarnation)
            self._update_address(self.address)

    @rule(
        lag_s=st.floats(0.0, MAX_VM_LIST_LAG_S - 0.1), age_s=st.sampled_from([0.0, 3.0])
    )
    def read_vm_list(self, lag_s, age_s):
        read_at = self.clock.monotonic() - lag_s
        states = [entry for entry in self.list_history if entry[0] <= read_at]
        _, is_listed, address = states[-1]
        if is_listed:
            self._update_address(address)
        self.detector.record_vm_list([VM, "x"] if is_listed else ["x"], 0.0)

    def _update_address(self, address: int) -> None:
        if address != self.dialled_address:
            self.dialled_address = address
            self.detector.clear_refusals(VM)

    @rule()
    def read_table_row(self):
        """Read the running incarnation from a row of the table."""
        self.detector.is_ended(VM, self.incarnation)

    @invariant()
    def running_incarnation_is_never_ended(self):
        is_ended = self.detector._ended.get(VM, -1) >= self.incarnation
        assert not (self.is_running and is_ended)


VMStateMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)


class VMStateMachineTests(VMStateMachine.TestCase, unittest.TestCase):
    pass
