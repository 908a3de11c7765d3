"""The lease that elects the one daemon that schedules.

The lease is a row of the store, which the holder renews with every commit. Another
daemon takes the lease once it has seen the same version of the row for ``LEASE_S``
seconds of its own clock. The holder counts ``LEASE_S`` from before it sent the renewal,
so the lease always ends for the holder first. Both use a clock that keeps counting
while the VM is suspended.

The row also lists the workers that do not answer the holder, each with the time left
of the lease of its running tasks. The holder extends none of these leases until a
commit has removed the worker from the list, so a successor needs to wait only for the
time listed and not for a whole worker lease.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from uuid import uuid4

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Unavailable, failed
from fulmarleverd.scheduling.persistence.rows import (
    LEASE_KEY,
    LEASE_TABLE,
    LeaseRow,
    UnresponsiveWorker,
    lease_row,
    pack_lease,
    unpack_lease,
)
from fulmarleverd.scheduling.ports import (
    ABSENT,
    Committed,
    ConditionFailed,
    Store,
    StoredRow,
    Transaction,
)
from fulmarleverd.scheduling.specs import WorkerKey

LEASE_S = 1.8
# How many fencing tokens each holder has: within its term, the token of the calls to a
# worker rises.
TOKENS_PER_TERM = 1 << 16
RENEW_PERIOD_S = 0.5
ACQUIRE_POLL_S = 0.4
CALL_TIMEOUT_S = 1.0
# VM and incarnation of a holder whose row cannot be decoded.
UNKNOWN_HOLDER = "?"
# How long after the end of its own lease a holder may still extend the leases of
# running tasks.
EXTEND_GRACE_S = 0.5
# Scheduling needs processor time, so VMs with few cores leave a free lease to others
# for a while: (upper bound of the cores, seconds to wait).
ACQUIRE_DELAYS = ((1.0, 0.6), (2.0, 0.1))


class LeaseTake:
    """An attempt to take the lease whose outcome is not known yet.

    It was sent at ``sent_s``. If it takes effect, earlier holders may have extended
    leases until ``extensions_end_s``. Both are seconds on the lease's clock.
    """

    __slots__ = ("sent_s", "extensions_end_s")

    def __init__(self, sent_s: float, extensions_end_s: float) -> None:
        self.sent_s = sent_s
        self.extensions_end_s = extensions_end_s


class SchedulerLease:
    """The scheduler's lease as seen by one daemon.

    ``token`` is the highest fencing token of the holder: it has ``TOKENS_PER_TERM`` of
    them, all higher than those of earlier holders. ``version`` is the row's newest
    known version. ``unresponsive_workers`` returns the workers to list in
    the row. ``earlier_extensions_end_s`` is the time until which earlier holders may
    have extended the leases of running tasks, ``earlier_lease_ends_s`` the end of the
    lease of each worker that the previous holder listed as unresponsive. All times are
    seconds on the clock of ``clock_s``.
    """

    __slots__ = (
        "token",
        "version",
        "valid_until_s",
        "is_held",
        "_store",
        "_clock",
        "vm",
        "_incarnation",
        "_sequence",
        "_watched_version",
        "_watched_since_s",
        "_takes",
        "_takes_version",
        "_acquire_delay_s",
        "_free_since_s",
        "unresponsive_workers",
        "earlier_extensions_end_s",
        "earlier_lease_ends_s",
        "_unresponsive_in_value",
        "_unresponsive_in_row",
    )

    def __init__(self, store: Store, clock: Clock, vm: str, cores: float = 2.0) -> None:
        self.token = 0
        self.version = ABSENT
        self.valid_until_s = 0.0
        self.is_held = False
        self._store = store
        self._clock = clock
        self.vm = vm
        self._incarnation = uuid4().hex[:12]
        self._sequence = 0
        self._watched_version = -1
        self._watched_since_s = 0.0
        # By the value that they write, which is unique: the attempts to take the lease
        # that may still take effect, all on the same version of the row.
        self._takes: dict[bytes, LeaseTake] = {}
        self._takes_version = ABSENT
        self._acquire_delay_s = acquire_delay_s(cores)
        self._free_since_s: float | None = None
        self.unresponsive_workers: Callable[[], list[UnresponsiveWorker]] = list
        self.earlier_extensions_end_s = 0.0
        self.earlier_lease_ends_s: dict[WorkerKey, float] = {}
        # Workers listed in the newest value, and in the row's newest known version.
        self._unresponsive_in_value: frozenset[WorkerKey] = frozenset()
        self._unresponsive_in_row: frozenset[WorkerKey] = frozenset()

    @property
    def is_valid(self) -> bool:
        """Return whether this daemon holds the lease and may start runs now."""
        return self.is_held and self.clock_s() < self.valid_until_s

    @property
    def may_extend(self) -> bool:
        """Return whether the leases of running tasks may be extended now."""
        return self.is_held and self.clock_s() < self.valid_until_s + EXTEND_GRACE_S

    def may_have_earlier_calls(self, born_s: float, late_s: float) -> bool:
        """Return whether calls of earlier holders may have reached a young worker.

        They may have been meant for a former incarnation of it. The worker started at
        ``born_s``; a call may arrive ``late_s`` seconds after it was sent. One that had
        started long before was known to the earlier holders.
        """
        if self.token <= TOKENS_PER_TERM:
            return False
        return abs(born_s - self.earlier_extensions_end_s) < late_s

    def may_grant_lease(self, key: WorkerKey) -> bool:
        """Return whether the lease of a worker's tasks may be granted or extended.

        A successor relies on the lease ends that the row lists for unresponsive
        workers, so these get no lease until a commit has removed them from the row.
        """
        return (
            key not in self._unresponsive_in_value
            and key not in self._unresponsive_in_row
        )

    def clock_s(self) -> float:
        """Return the time in seconds on the clock that measures the lease."""
        return self._clock.boot()

    async def acquire(self) -> None:
        """Wait until this daemon holds the lease."""
        while not await self.try_acquire():
            await asyncio.sleep(ACQUIRE_POLL_S * random.uniform(0.8, 1.2))

    async def try_acquire(self) -> bool:
        """Read the lease and take it if it is free.

        Return whether this daemon holds it now. A failed call to the store counts as
        not held; the next attempt finds out whether the call took effect.
        """
        rows = await self._store.read(
            LEASE_TABLE, LEASE_KEY, LEASE_KEY + "\0", CALL_TIMEOUT_S
        )
        if failed(rows):
            # The row may change while it cannot be read, so watching starts again.
            self._watched_version = -1
            return False
        row = rows.rows[0] if rows.rows else lease_row()
        holder = unpack_lease(row) if rows.rows else LeaseRow("", "", 0, 0)
        if failed(holder):
            log.bind(event="lease-unreadable").error(holder.reason)
            holder = _unknown_holder(row)
        if self._adopt_unconfirmed_take(row, holder):
            return True
        if not self._is_free(row, holder):
            self._free_since_s = None
            return False
        now = self.clock_s()
        self._free_since_s = self._free_since_s or now
        if now - self._free_since_s < self._acquire_delay_s:
            return False
        return await self._take(row, holder)

    def _adopt_unconfirmed_take(self, row: StoredRow, holder: LeaseRow) -> bool:
        """Hold the lease if an earlier attempt without an answer took effect."""
        take = self._takes.get(row.value)
        if take is None:
            return False
        self._set_held(holder.token, row.version, take.sent_s, holder.unresponsive)
        self.earlier_extensions_end_s = take.extensions_end_s
        log.bind(
            event="lease-taken",
            token=holder.token,
            unanswered_s=round(self.clock_s() - take.sent_s, 2),
        ).info("an earlier attempt to take the scheduler's lease took effect")
        return True

    def _is_free(self, row: StoredRow, holder: LeaseRow) -> bool:
        now = self.clock_s()
        if holder.vm in ("", self.vm):
            # The lease was released, or its holder is an earlier process of this VM,
            # which has ended.
            return True
        if row.version != self._watched_version:
            self._watched_version = row.version
            self._watched_since_s = now
        return now - self._watched_since_s >= LEASE_S

    async def _take(self, row: StoredRow, holder: LeaseRow) -> bool:
        token = holder.token + TOKENS_PER_TERM
        first_seen_s = self._first_seen_s(row)
        unresponsive = _subtract_elapsed(
            holder.unresponsive, self.clock_s() - first_seen_s
        )
        self._sequence += 1
        value = pack_lease(
            LeaseRow(self.vm, self._incarnation, token, self._sequence, unresponsive)
        )
        tx = Transaction([lease_row(version=row.version)], [lease_row(value)])
        sent_s = self.clock_s()
        extensions_end_s = first_seen_s + _extension_window_s(holder, self.vm)
        self._record_take(row.version, value, LeaseTake(sent_s, extensions_end_s))
        result = await self._store.transact(tx, CALL_TIMEOUT_S)
        if isinstance(result, Committed):
            self._set_held(token, result.version, sent_s, unresponsive)
            self.earlier_extensions_end_s = extensions_end_s
            log.bind(
                event="lease-taken",
                token=token,
                from_vm=holder.vm,
                silent_s=round(sent_s - self._watched_since_s, 2),
            ).info("took the scheduler's lease")
            return True
        if isinstance(result, Unavailable | ConditionFailed):
            # An earlier attempt on the same version may still have taken effect.
            self._takes.pop(value, None)
        return False

    def _record_take(self, version: int, value: bytes, take: LeaseTake) -> None:
        """Remember an attempt; those on other versions of the row cannot succeed."""
        if version != self._takes_version:
            self._takes = {}
        self._takes_version = version
        self._takes[value] = take

    def _first_seen_s(self, row: StoredRow) -> float:
        """Return when this version of the row was first seen, after it was written."""
        is_watched = row.version == self._watched_version
        return self._watched_since_s if is_watched else self.clock_s()

    def _set_held(
        self,
        token: int,
        version: int,
        sent_s: float,
        unresponsive: tuple[UnresponsiveWorker, ...],
    ) -> None:
        self.earlier_lease_ends_s = {
            worker.key: sent_s + worker.lease_left_s for worker in unresponsive
        }
        self._unresponsive_in_value = self._unresponsive_in_row = frozenset(
            self.earlier_lease_ends_s
        )
        self.token = token
        self.version = version
        self.valid_until_s = sent_s + LEASE_S
        self.is_held = True
        self._free_since_s = None
        self._takes = {}

    def next_row_value(self) -> bytes:
        """Return the value of the lease's row for the next commit, unlike any other."""
        self._sequence += 1
        unresponsive = tuple(self.unresponsive_workers())
        self._unresponsive_in_value = frozenset(worker.key for worker in unresponsive)
        row = LeaseRow(
            self.vm, self._incarnation, self.token, self._sequence, unresponsive
        )
        return pack_lease(row)

    def record_renewal(self, version: int, sent_s: float) -> None:
        """Extend the lease after a commit.

        ``version`` is the row's new version. ``sent_s`` is the time at which the commit
        was sent, in seconds on the lease's clock; the lease counts from then.
        """
        self.version = version
        self._unresponsive_in_row = self._unresponsive_in_value
        self.valid_until_s = max(self.valid_until_s, sent_s + LEASE_S)

    def mark_lost(self) -> None:
        """Stop holding the lease, without a change of its row."""
        self.is_held = False
        self._watched_version = -1
        self._takes = {}

    async def release(self) -> None:
        """Release the lease so that another daemon may take it at once."""
        if not self.is_held:
            return
        unresponsive = tuple(self.unresponsive_workers())
        row = LeaseRow(
            "", self._incarnation, self.token, self._sequence + 1, unresponsive
        )
        value = pack_lease(row)
        tx = Transaction([lease_row(version=self.version)], [lease_row(value)])
        self.mark_lost()
        result = await self._store.transact(tx, CALL_TIMEOUT_S)
        outcome = "released" if isinstance(result, Committed) else repr(result)
        log.bind(event="lease-released", token=self.token).info(outcome)


def _unknown_holder(row: StoredRow) -> LeaseRow:
    """Return the holder to assume for a row that cannot be decoded.

    The row may come from another version of this program that is running, so the lease
    is taken only once the row has stopped changing. Each holder's tokens were committed
    with a version of their own, so there were no more holders than versions.
    """
    token = row.version * TOKENS_PER_TERM
    return LeaseRow(
        vm=UNKNOWN_HOLDER, incarnation=UNKNOWN_HOLDER, token=token, sequence=0
    )


def acquire_delay_s(cores: float) -> float:
    """Return how long a VM leaves a free lease to others, in seconds."""
    return next((seconds for below, seconds in ACQUIRE_DELAYS if cores < below), 0.0)


def _subtract_elapsed(
    unresponsive: tuple[UnresponsiveWorker, ...], elapsed_s: float
) -> tuple[UnresponsiveWorker, ...]:
    """Return the unresponsive workers with their leases shortened by elapsed time."""
    return tuple(
        UnresponsiveWorker(worker.key, max(0.0, worker.lease_left_s - elapsed_s))
        for worker in unresponsive
    )


def _extension_window_s(holder: LeaseRow, own_vm: str) -> float:
    """Return for how long after its row was first seen leases may be extended.

    A holder that has released the lease, or whose process has ended, extends no lease
    of a running task. The holder before it may do so for ``EXTEND_GRACE_S``, as its own
    lease had ended when it was replaced.
    """
    if not holder.incarnation:
        return 0.0
    has_ended = holder.vm in ("", own_vm)
    return EXTEND_GRACE_S if has_ended else LEASE_S + EXTEND_GRACE_S
