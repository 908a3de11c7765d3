"""The lease of the one daemon that schedules: taken, renewed and lost.

The holder renews with every commit. Another daemon takes the lease once the row has
kept one version for ``LEASE_S`` of its own clock. The holder counts ``LEASE_S`` from
before it sent the renewal, so its own time is always over first. Both use a clock
that counts suspensions.

The row also names the workers that do not answer the holder, with what is left of their
leases. The holder gives them no more until a commit has taken them out, so a successor
need not wait as if they had just been given one.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from uuid import uuid4

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Unavailable, failed
from fulmarleverd.scheduling.ports import (
    ABSENT,
    Committed,
    ConditionFailed,
    Store,
    StoredRow,
    Transaction,
)
from fulmarleverd.scheduling.rows import (
    LEASE_KEY,
    LEASE_TABLE,
    LeaseRow,
    SilentWorker,
    lease_row,
    pack_lease,
    unpack_lease,
)
from fulmarleverd.scheduling.runs import WorkerKey

LEASE_S = 1.8
RENEW_S = 0.5
POLL_S = 0.4
CALL_TIMEOUT_S = 1.0
# Stands for the VM and the incarnation of a holder whose row cannot be read.
UNKNOWN_HOLDER = "?"
# How long an owner may extend the leases of what runs after its own lease is over.
EXTEND_GRACE_S = 0.5
# Scheduling takes processor time, so VMs with fewer cores wait a little longer before
# they take a free lease: (cores below, seconds).
HANDICAPS = ((1.0, 0.6), (2.0, 0.1))


class SchedulerLease:
    """The scheduler's lease as seen by one daemon."""

    __slots__ = (
        "token",
        "version",
        "valid_until_s",
        "is_held",
        "_store",
        "_clock",
        "_vm",
        "_incarnation",
        "_sequence",
        "_watched",
        "_watched_since_s",
        "_tried_at_s",
        "_handicap_s",
        "_free_since_s",
        "silent_workers",
        "earlier_grants_end_s",
        "earlier_lease_ends_s",
        "_named",
        "_named_in_row",
    )

    def __init__(self, store: Store, clock: Clock, vm: str, cores: float = 2.0) -> None:
        self.token = 0
        self.version = ABSENT
        self.valid_until_s = 0.0
        self.is_held = False
        self._store = store
        self._clock = clock
        self._vm = vm
        self._incarnation = uuid4().hex[:12]
        self._sequence = 0
        self._watched = -1
        self._watched_since_s = 0.0
        self._tried_at_s = 0.0
        self._handicap_s = handicap_s(cores)
        self._free_since_s: float | None = None
        # What the holder tells of workers that do not answer it.
        self.silent_workers: Callable[[], list[SilentWorker]] = list
        # Until when earlier holders may have extended the leases of running tasks.
        self.earlier_grants_end_s = 0.0
        # The ends of leases of workers that earlier holders named as silent.
        self.earlier_lease_ends_s: dict[WorkerKey, float] = {}
        # Workers named in the newest value, and in the row as far as is known.
        self._named: frozenset[WorkerKey] = frozenset()
        self._named_in_row: frozenset[WorkerKey] = frozenset()

    @property
    def is_valid(self) -> bool:
        """Return whether new runs may be started now."""
        return self.is_held and self.clock_s() < self.valid_until_s

    @property
    def may_extend(self) -> bool:
        """Return whether the leases of running tasks may be extended now."""
        return self.is_held and self.clock_s() < self.valid_until_s + EXTEND_GRACE_S

    def may_grant(self, key: WorkerKey) -> bool:
        """Return whether a worker may get a lease that a successor doesn't know of.

        A successor relies on what the row tells of silent workers, so those get no
        more leases until a commit has taken them out of the row.
        """
        return key not in self._named and key not in self._named_in_row

    def clock_s(self) -> float:
        """Return seconds on the clock that the lease is measured with."""
        return self._clock.boot()

    async def acquire(self) -> None:
        """Wait until this daemon holds the lease."""
        while not await self.try_acquire():
            await asyncio.sleep(POLL_S * random.uniform(0.8, 1.2))

    async def try_acquire(self) -> bool:
        """Read the lease and take it if it is free; return whether it is held now."""
        rows = await self._store.read(
            LEASE_TABLE, LEASE_KEY, LEASE_KEY + "\0", CALL_TIMEOUT_S
        )
        if failed(rows):
            # Nothing is known about the row while it cannot be read.
            self._watched = -1
            return False
        row = rows.rows[0] if rows.rows else lease_row()
        holder = unpack_lease(row) if rows.rows else LeaseRow("", "", 0, 0)
        if failed(holder):
            log.bind(event="lease-unreadable").error(holder.reason)
            holder = _unknown_holder(row)
        if self._adopt_late_answer(row, holder):
            return True
        if not self._is_free(row, holder):
            self._free_since_s = None
            return False
        now = self.clock_s()
        self._free_since_s = self._free_since_s or now
        if now - self._free_since_s < self._handicap_s:
            return False
        return await self._take(row, holder)

    def _adopt_late_answer(self, row: StoredRow, holder: LeaseRow) -> bool:
        if (
            holder.incarnation != self._incarnation
            or not holder.vm
            or self._tried_at_s == 0.0
        ):
            return False
        self._hold(holder.token, row.version, self._tried_at_s, holder.silent)
        self.earlier_grants_end_s = self.clock_s() + LEASE_S + EXTEND_GRACE_S
        return True

    def _is_free(self, row: StoredRow, holder: LeaseRow) -> bool:
        now = self.clock_s()
        if holder.vm in ("", self._vm):
            # Released, or held by an earlier process of this VM, which has ended.
            return True
        if row.version != self._watched:
            self._watched = row.version
            self._watched_since_s = now
        return now - self._watched_since_s >= LEASE_S

    async def _take(self, row: StoredRow, holder: LeaseRow) -> bool:
        token = holder.token + 1
        seen_s = self._seen_s(row)
        silent = _age(holder.silent, self.clock_s() - seen_s)
        value = pack_lease(LeaseRow(self._vm, self._incarnation, token, 0, silent))
        tx = Transaction([lease_row(version=row.version)], [lease_row(value)])
        self._tried_at_s = sent_s = self.clock_s()
        result = await self._store.transact(tx, CALL_TIMEOUT_S)
        if isinstance(result, Committed):
            self._hold(token, result.version, sent_s, silent)
            self.earlier_grants_end_s = seen_s + _grants_after_s(holder, self._vm)
            log.bind(
                event="lease-taken",
                token=token,
                from_vm=holder.vm,
                silent_s=round(sent_s - self._watched_since_s, 2),
            ).info("took the scheduler's lease")
            return True
        if isinstance(result, Unavailable | ConditionFailed):
            self._tried_at_s = 0.0
        return False

    def _seen_s(self, row: StoredRow) -> float:
        """Return when a version of the row was first seen; it was written before."""
        is_watched = row.version == self._watched
        return self._watched_since_s if is_watched else self.clock_s()

    def _hold(
        self,
        token: int,
        version: int,
        since_s: float,
        silent: tuple[SilentWorker, ...],
    ) -> None:
        now = self.clock_s()
        self.earlier_lease_ends_s = {w.key: now + w.lease_left_s for w in silent}
        self._named = self._named_in_row = frozenset(self.earlier_lease_ends_s)
        self.token = token
        self.version = version
        self.valid_until_s = since_s + LEASE_S
        self.is_held = True
        self._free_since_s = None

    def next_value(self) -> bytes:
        """Return the lease's row value for the next commit."""
        self._sequence += 1
        silent = tuple(self.silent_workers())
        self._named = frozenset(worker.key for worker in silent)
        row = LeaseRow(self._vm, self._incarnation, self.token, self._sequence, silent)
        return pack_lease(row)

    def renewed(self, version: int, sent_s: float) -> None:
        """Take note of a commit that was sent at ``sent_s`` on the lease's clock."""
        self.version = version
        self._named_in_row = self._named
        self.valid_until_s = max(self.valid_until_s, sent_s + LEASE_S)

    def lost(self) -> None:
        """Take note that another daemon holds the lease."""
        self.is_held = False
        self._watched = -1
        self._tried_at_s = 0.0

    async def release(self) -> None:
        """Give the lease up so that another daemon may take it at once."""
        if not self.is_held:
            return
        silent = tuple(self.silent_workers())
        row = LeaseRow("", self._incarnation, self.token, self._sequence + 1, silent)
        value = pack_lease(row)
        tx = Transaction([lease_row(version=self.version)], [lease_row(value)])
        self.lost()
        result = await self._store.transact(tx, CALL_TIMEOUT_S)
        outcome = "released" if isinstance(result, Committed) else repr(result)
        log.bind(event="lease-released", token=self.token).info(outcome)


def _unknown_holder(row: StoredRow) -> LeaseRow:
    """Return the holder to assume for a row of another version of this program.

    It may be alive, so the lease is only taken once the row is silent. Each token was
    committed with a version of its own, so none is greater than the row's version.
    """
    return LeaseRow(
        vm=UNKNOWN_HOLDER, incarnation=UNKNOWN_HOLDER, token=row.version, sequence=0
    )


def handicap_s(cores: float) -> float:
    """Return how long a VM with so many cores leaves a free lease to others."""
    return next((seconds for below, seconds in HANDICAPS if cores < below), 0.0)


def _age(silent: tuple[SilentWorker, ...], passed_s: float) -> tuple[SilentWorker, ...]:
    """Return silent workers with what is left of their leases after some time."""
    return tuple(
        SilentWorker(worker.key, max(0.0, worker.lease_left_s - passed_s))
        for worker in silent
    )


def _grants_after_s(holder: LeaseRow, own_vm: str) -> float:
    """Return for how long after its row was seen a holder may extend leases.

    A holder that has released the lease, or whose process has ended, extends none; the
    one before it may still, as its own lease was over when it was replaced.
    """
    if not holder.incarnation:
        return 0.0
    has_ended = holder.vm in ("", own_vm)
    return EXTEND_GRACE_S if has_ended else LEASE_S + EXTEND_GRACE_S
