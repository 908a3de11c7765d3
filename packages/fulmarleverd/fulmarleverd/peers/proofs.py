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
LIST_LAG_S = 30.0


class EndProofs:
    """What is known of the end of every incarnation of every VM.

    An incarnation has ended when

    * a higher one was heard,
    * its peer port refused connections ``REFUSALS_NEEDED`` times over at least
      ``REFUSALS_SPAN_S`` with no sign of life between, or
    * the VM was absent from readings of the VM list over ``LIST_ABSENCE_S``.

    Only what was seen after the incarnation was first noticed counts. The list lags by
    up to ``LIST_LAG_S``, and so does an address that comes from it, so evidence that
    rests on the list counts only that much later. Proofs are kept, because
    incarnations never come back.
    """

    __slots__ = (
        "_clock",
        "_ended",
        "_heard",
        "_noticed",
        "_refusals",
        "_absent",
        "_fixed",
    )

    def __init__(self, clock: Clock, fixed: Collection[str] = ()) -> None:
        self._clock = clock
        self._fixed = frozenset(fixed)
        self._ended: dict[str, int] = {}
        self._heard: dict[str, int] = {}
        self._noticed: dict[str, dict[int, float]] = {}
        self._refusals: dict[str, list[float]] = {}
        self._absent: dict[str, float] = {}

    def notice(self, vm: str, incarnation: int) -> None:
        """Note that an incarnation exists; later evidence may prove its end."""
        known = self._noticed.setdefault(vm, {})
        known.setdefault(incarnation, self._clock.monotonic())

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

    def succeed(self, vm: str, incarnation: int) -> None:
        """Note that a relay heard an incarnation: lower ones have ended."""
        self.notice(vm, incarnation)
        self._end(vm, incarnation - 1)

    def is_past(self, vm: str, incarnation: int) -> bool:
        """Return whether an incarnation has ended or a higher one was heard."""
        return max(self._ended.get(vm, -1), self.heard(vm) - 1) >= incarnation

    def reached(self, vm: str) -> None:
        """Note that the VM's peer port took a connection, or that it moved."""
        self._refusals.pop(vm, None)

    def refused(self, vm: str) -> None:
        """Note that the VM's peer port refused a connection."""
        now = self._clock.monotonic()
        times = self._refusals.setdefault(vm, [])
        times.append(now)
        for incarnation in list(self._noticed.get(vm, {})):
            start = self._address_known_at(vm, incarnation)
            after = [at for at in times if at >= start]
            span = now - after[0] if after else 0.0
            if len(after) >= REFUSALS_NEEDED and span >= REFUSALS_SPAN_S:
                self._end(vm, incarnation)
        del times[:-REFUSALS_KEPT]

    def _address_known_at(self, vm: str, incarnation: int) -> float:
        noticed = self._noticed[vm].get(incarnation, float("inf"))
        is_sure = vm in self._fixed or incarnation <= self._heard.get(vm, -1)
        return noticed if is_sure else noticed + LIST_LAG_S

    def listed(self, vms: Collection[str], age_s: float) -> None:
        """Take over one reading of the VM list, ``age_s`` old."""
        if not vms or age_s > LIST_FRESH_S:
            self._absent.clear()
            return
        read_at = self._clock.monotonic() - age_s
        for vm in self._noticed:
            if vm in vms or vm in self._fixed:
                self._absent.pop(vm, None)
            else:
                self._check_absence(vm, read_at)

    def _check_absence(self, vm: str, read_at: float) -> None:
        since = self._absent.setdefault(vm, read_at)
        for incarnation, noticed in list(self._noticed[vm].items()):
            start = max(since, noticed + LIST_LAG_S)
            if read_at - start >= LIST_ABSENCE_S:
                self._end(vm, incarnation)

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
