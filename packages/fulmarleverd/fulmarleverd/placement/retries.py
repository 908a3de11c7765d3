"""Retry delays and avoided workers of tasks whose attempts failed or were refused."""

from __future__ import annotations

from dataclasses import dataclass, field

FIRST_DELAY_S = 0.5
MAX_DELAY_S = 60.0


@dataclass(slots=True)
class _RetryState:
    """The retry delay of one task and the workers on which its attempts failed.

    ``not_before_s`` is the monotonic time of the next attempt.
    """

    delay_s: float = 0.0
    not_before_s: float = 0.0
    workers: set[str] = field(default_factory=set)


class RetryDelays:
    """The time before which, and the workers on which, a task is not tried again.

    Tasks are given by key; times are on the monotonic clock. The delay doubles with
    each failure: a fault that affects all workers, such as an unavailable object
    store, would otherwise cost two writes to the table for each task and round.
    """

    def __init__(self) -> None:
        self._retry_states: dict[str, _RetryState] = {}

    def record_failure(self, key: str, worker: str, now_s: float) -> None:
        """Record a failed or refused attempt on a worker and increase the delay."""
        retry = self._retry_states.setdefault(key, _RetryState())
        retry.delay_s = min(MAX_DELAY_S, max(FIRST_DELAY_S, 2 * retry.delay_s))
        retry.not_before_s = now_s + retry.delay_s
        retry.workers.add(worker)

    def remove(self, key: str) -> None:
        """Remove the state of a task that ended."""
        self._retry_states.pop(key, None)

    def is_waiting(self, key: str, now_s: float) -> bool:
        """Return whether the delay of a task has not passed yet."""
        retry = self._retry_states.get(key)
        return retry is not None and now_s < retry.not_before_s

    def workers(self, key: str) -> set[str]:
        """Return the workers that a task avoids as long as others are possible."""
        retry = self._retry_states.get(key)
        return retry.workers if retry is not None else set()
