"""Detection of the termination of daemon processes on other VMs.

A timeout alone is no evidence: the process may be frozen, or partitioned from this
daemon, and still serve requests.
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
    """Decides from evidence which incarnations of which VMs have terminated.

    An incarnation is one run of a daemon process on a VM. It has ended when

    * a frame from a higher incarnation of the same VM arrived,
    * its peer port refused connections ``MIN_REFUSALS`` times over at least
      ``MIN_REFUSAL_SPAN_S`` without an accepted connection or a frame between, or
    * the VM was absent from the VM list for ``MIN_VM_LIST_ABSENCE_S``.

    Only evidence from after the incarnation was first seen counts. The VM list is up
    to ``MAX_VM_LIST_LAG_S`` out of date, and so are addresses taken from it; evidence
    that depends on the list therefore counts only after that delay. A decision is
    permanent, because incarnation numbers are never reused.

    ``static`` names the VMs whose addresses come from the settings, not from the list.
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
        """Record when an incarnation was first seen; only later evidence counts."""
        known = self._first_seen_s.setdefault(vm, {})
        known.setdefault(incarnation, self._clock.monotonic())

    def highest_incarnation(self, vm: str) -> int:
        """Return the highest incarnation tracked or ended, or 0."""
        return max(self._ended.get(vm, 0), *self._first_seen_s.get(vm, {}), 0)

    def highest_contacted(self, vm: str) -> int:
        """Return the highest incarnation that sent a frame to this daemon, or 0."""
        return self._contacted.get(vm, 0)

    def record_alive(self, vm: str, incarnation: int) -> bool:
        """Record a frame from an incarnation, which ends all lower ones of the VM.

        Discard the evidence collected so far from refusals and the VM list. Return
        false when the incarnation is already known to have ended.
        """
        self.track(vm, incarnation)
        self._contacted[vm] = max(self._contacted.get(vm, 0), incarnation)
        self._refusal_times_s.pop(vm, None)
        self._absent_since_s.pop(vm, None)
        is_new = self._ended.get(vm, -1) < incarnation
        self._end(vm, incarnation - 1)
        return is_new

    def record_relayed(self, vm: str, incarnation: int) -> None:
        """Record that a relay reports an incarnation, which ends all lower ones."""
        self.track(vm, incarnation)
        self._end(vm, incarnation - 1)

    def is_obsolete(self, vm: str, incarnation: int) -> bool:
        """Return whether an incarnation has ended or a higher one sent a frame."""
        return (
            max(self._ended.get(vm, -1), self.highest_contacted(vm) - 1) >= incarnation
        )

    def clear_refusals(self, vm: str) -> None:
        """Discard a VM's refusals: its port accepted a connection or has changed."""
        self._refusal_times_s.pop(vm, None)

    def record_refusal(self, vm: str) -> None:
        """Record that the VM's peer port refused a connection."""
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
        """Record the VMs on the VM list, which was read ``age_s`` seconds ago.

        An empty list, or one older than ``MAX_VM_LIST_AGE_S``, is no evidence.
        """
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
        """Return whether an incarnation is known to have ended; track it if not."""
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
