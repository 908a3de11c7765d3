"""Proof that the process of another VM has ended.

A timeout proves nothing: the process may be frozen or cut off and still be serving.
"""

from __future__ import annotations

from collections.abc import Collection

from fulmarlever.clock import Clock

REFUSALS_NEEDED = 3
REFUSALS_SPAN_S = 2.0
REFUSALS_KEPT = 32
LIST_FRESH_S = 10.0
LIST_ABSENCE_S = 5.0
LIST_NEVER_SEEN_S = 60.0


class EndProofs:
    """What is known of the end of every incarnation of every VM.

    An incarnation has ended when a higher one was heard, when the VM has left the VM
    list, or when its peer port refused connections ``REFUSALS_NEEDED`` times over at
    least ``REFUSALS_SPAN_S``, all after the incarnation was first noticed and with no
    sign of life between. Proofs are kept: incarnations never come back.
    """

    __slots__ = (
        "_clock",
        "_ended",
        "_heard",
        "_noticed",
        "_refusals",
        "_absent",
        "_listed",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended: dict[str, int] = {}
        self._heard: dict[str, int] = {}
        self._noticed: dict[str, dict[int, float]] = {}
        self._refusals: dict[str, list[float]] = {}
        self._absent: dict[str, float] = {}
        self._listed: set[str] = set()

    def notice(self, vm: str, incarnation: int) -> None:
        """Note that an incarnation exists; later refusals may prove its end."""
        known = self._noticed.setdefault(vm, {})
        if incarnation not in known:
            known[incarnation] = self._clock.monotonic()
            self._absent.pop(vm, None)

    def highest(self, vm: str) -> int:
        """Return the highest incarnation noticed or ended, or 0."""
        return max(self._ended.get(vm, 0), *self._noticed.get(vm, {}), 0)

    def heard(self, vm: str) -> int:
        """Return the highest incarnation that was heard itself, or 0."""
        return self._heard.get(vm, 0)

    def alive(self, vm: str, incarnation: int) -> bool:
        """Note a sign of life: lower incarnations have ended, refusals are void.

        Return false when it contradicts an earlier proof.
        """
        self.notice(vm, incarnation)
        self._heard[vm] = max(self._heard.get(vm, 0), incarnation)
        self._refusals.pop(vm, None)
        self._absent.pop(vm, None)
        is_new = self._ended.get(vm, -1) < incarnation
        self._end(vm, incarnation - 1)
        return is_new

    def reached(self, vm: str) -> None:
        """Note that the VM's peer port took a connection."""
        self._refusals.pop(vm, None)

    def refused(self, vm: str) -> None:
        """Note that the VM's peer port refused a connection."""
        now = self._clock.monotonic()
        times = self._refusals.setdefault(vm, [])
        times.append(now)
        for incarnation, noticed in self._noticed.get(vm, {}).items():
            after = [at for at in times if at >= noticed]
            span = now - after[0] if after else 0.0
            if len(after) >= REFUSALS_NEEDED and span >= REFUSALS_SPAN_S:
                self._end(vm, incarnation)
        del times[:-REFUSALS_KEPT]

    def listed(self, vms: Collection[str], age_s: float) -> None:
        """Take over one reading of the VM list, ``age_s`` old."""
        if not vms or age_s > LIST_FRESH_S:
            self._absent.clear()
            return
        read_at = self._clock.monotonic() - age_s
        self._listed.update(vms)
        for vm in self._noticed:
            if vm in vms:
                self._absent.pop(vm, None)
            else:
                self._check_absence(vm, read_at)

    def _check_absence(self, vm: str, read_at: float) -> None:
        # A list that lags does not show a new VM yet, so a VM that was never on it
        # has to be absent for longer.
        needed = LIST_ABSENCE_S if vm in self._listed else LIST_NEVER_SEEN_S
        since = self._absent.setdefault(vm, read_at)
        if read_at - since >= needed:
            self._end(vm, self.highest(vm))

    def is_ended(self, vm: str, incarnation: int) -> bool:
        """Return whether the end of an incarnation is proved."""
        if self._ended.get(vm, -1) >= incarnation:
            return True
        self.notice(vm, incarnation)
        return False

    def _end(self, vm: str, incarnation: int) -> None:
        if self._ended.get(vm, -1) >= incarnation:
            return
        self._ended[vm] = incarnation
        noticed = self._noticed.get(vm, {})
        for old in [old for old in noticed if old < incarnation]:
            del noticed[old]
