"""Proof that the process of another VM has ended.

A timeout proves nothing: the process may be frozen or cut off and still be serving.
"""

from __future__ import annotations

from collections.abc import Collection

from fulmarlever.clock import Clock

MIN_REFUSALS = 3
MIN_REFUSAL_SPAN_S = 2.0
MAX_STORED_REFUSALS = 32
MAX_VM_LIST_AGE_S = 10.0
MIN_VM_LIST_ABSENCE_S = 5.0
MAX_VM_LIST_LAG_S = 30.0


class TerminationDetector:
    """What is known of the end of every incarnation of every VM.

    An incarnation has ended when

    * a higher one was heard,
    * its peer port refused connections ``MIN_REFUSALS`` times over at least
      ``MIN_REFUSAL_SPAN_S`` with no sign of life between, or
    * the VM was absent from readings of the VM list over ``MIN_VM_LIST_ABSENCE_S``.

    Only what was seen after the incarnation was first seen counts. The list lags by
    up to ``MAX_VM_LIST_LAG_S``, and so does an address that comes from it, so evidence that
    rests on the list counts only that much later. Proofs are kept, because
    incarnations never come back.
    """

    __slots__ = (
        "_clock",
        "_ended",
        "_contacted",
        "_first_seen_s",
        "_refusal_times_s",
        "_absent_since_s",
        "_static",
    )

    def __init__(self, clock: Clock, static: Collection[str] = ()) -> None:
        self._clock = clock
        self._static = frozenset(static)
        self._ended: dict[str, int] = {}
        self._contacted: dict[str, int] = {}
        self._first_seen_s: dict[str, dict[int, float]] = {}
        self._refusal_times_s: dict[str, list[float]] = {}
        self._absent_since_s: dict[str, float] = {}

    def track(self, vm: str, incarnation: int) -> None:
        """Note that an incarnation exists; later evidence may prove its end."""
        known = self._first_seen_s.setdefault(vm, {})
        known.setdefault(incarnation, self._clock.monotonic())

    def highest_incarnation(self, vm: str) -> int:
        """Return the highest incarnation tracked or ended, or 0."""
        return max(self._ended.get(vm, 0), *self._first_seen_s.get(vm, {}), 0)

    def highest_contacted(self, vm: str) -> int:
        """Return the highest incarnation that was heard itself, or 0."""
        return self._contacted.get(vm, 0)

    def record_alive(self, vm: str, incarnation: int) -> bool:
        """Note a sign of life: lower incarnations have ended, refusals are void.

        Return false when it contradicts an earlier proof.
        """
        self.track(vm, incarnation)
        self._contacted[vm] = max(self._contacted.get(vm, 0), incarnation)
        self._refusal_times_s.pop(vm, None)
        self._absent_since_s.pop(vm, None)
        is_new = self._ended.get(vm, -1) < incarnation
        self._end(vm, incarnation - 1)
        return is_new

    def record_relayed(self, vm: str, incarnation: int) -> None:
        """Note that a relay heard an incarnation: lower ones have ended."""
        self.track(vm, incarnation)
        self._end(vm, incarnation - 1)

    def is_obsolete(self, vm: str, incarnation: int) -> bool:
        """Return whether an incarnation has ended or a higher one was heard."""
        return (
            max(self._ended.get(vm, -1), self.highest_contacted(vm) - 1) >= incarnation
        )

    def clear_refusals(self, vm: str) -> None:
        """Note that the VM's peer port took a connection, or that it moved."""
        self._refusal_times_s.pop(vm, None)

    def record_refusal(self, vm: str) -> None:
        """Note that the VM's peer port refused a connection."""
        now = self._clock.monotonic()
        times = self._refusal_times_s.setdefault(vm, [])
        times.append(now)
        for incarnation in list(self._first_seen_s.get(vm, {})):
            start = self._address_valid_since_s(vm, incarnation)
            after = [at for at in times if at >= start]
            span = now - after[0] if after else 0.0
            if len(after) >= MIN_REFUSALS and span >= MIN_REFUSAL_SPAN_S:
                self._end(vm, incarnation)
        del times[:-MAX_STORED_REFUSALS]

    def _address_valid_since_s(self, vm: str, incarnation: int) -> float:
        first_seen_s = self._first_seen_s[vm].get(incarnation, float("inf"))
        is_current = vm in self._static or incarnation <= self._contacted.get(vm, -1)
        return first_seen_s if is_current else first_seen_s + MAX_VM_LIST_LAG_S

    def record_vm_list(self, vms: Collection[str], age_s: float) -> None:
        """Take over one reading of the VM list, ``age_s`` old."""
        if not vms or age_s > MAX_VM_LIST_AGE_S:
            self._absent_since_s.clear()
            return
        read_at = self._clock.monotonic() - age_s
        for vm in self._first_seen_s:
            if vm in vms or vm in self._static:
                self._absent_since_s.pop(vm, None)
            else:
                self._check_absence(vm, read_at)

    def _check_absence(self, vm: str, read_at: float) -> None:
        since = self._absent_since_s.setdefault(vm, read_at)
        for incarnation, first_seen_s in list(self._first_seen_s[vm].items()):
            start = max(since, first_seen_s + MAX_VM_LIST_LAG_S)
            if read_at - start >= MIN_VM_LIST_ABSENCE_S:
                self._end(vm, incarnation)

    def is_ended(self, vm: str, incarnation: int) -> bool:
        """Return whether the end of an incarnation is proved."""
        if self._ended.get(vm, -1) >= incarnation:
            return True
        self.track(vm, incarnation)
        return False

    def _end(self, vm: str, incarnation: int) -> None:
        if self._ended.get(vm, -1) >= incarnation:
            return
        self._ended[vm] = incarnation
        first_seen_s = self._first_seen_s.get(vm, {})
        for old in [old for old in first_seen_s if old < incarnation]:
            del first_seen_s[old]
