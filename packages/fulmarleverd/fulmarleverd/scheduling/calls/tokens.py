"""The fencing tokens of the calls to workers.

A worker does nothing for a lower token than the highest that it has seen. So the token
of a worker's id rises after each call without an answer, and with each new incarnation
that becomes known: what is carried out late does nothing once a later call has arrived.
"""

from __future__ import annotations

from collections import Counter

from fulmarleverd.scheduling.term.lease import TOKENS_PER_TERM, SchedulerLease


class CallTokens:
    """The current fencing token of each worker id during one term of an owner."""

    __slots__ = ("_lease", "_rises")

    def __init__(self, lease: SchedulerLease) -> None:
        self._lease = lease
        self._rises: Counter[str] = Counter()

    def current(self, worker_id: str) -> int:
        """Return the token for the next call to the workers with an id."""
        rises = min(self._rises[worker_id], TOKENS_PER_TERM - 1)
        return self._lease.token - TOKENS_PER_TERM + 1 + rises

    def rise(self, worker_id: str) -> None:
        """Make all calls so far to the workers with an id older than the next one."""
        self._rises[worker_id] += 1
