"""Waits and avoided workers of tasks whose last attempt went wrong."""

from __future__ import annotations

from dataclasses import dataclass, field

FIRST_WAIT_S = 0.5
LONGEST_WAIT_S = 60.0


@dataclass(slots=True)
class _Retry:
    """The wait of one task and the workers that refused or failed it."""

    wait_s: float = 0.0
    until_s: float = 0.0
    workers: set[str] = field(default_factory=set)


class Retries:
    """When and where a task is tried again, by key, on the monotonic clock.

    Without a growing wait a fault that all workers share, such as an object store
    that is down, would cost the table two writes for each task and round.
    """

    def __init__(self) -> None:
        self._retries: dict[str, _Retry] = {}

    def note_failure(self, key: str, worker: str, now_s: float) -> None:
        """Count a failed or refused attempt."""
        retry = self._retries.setdefault(key, _Retry())
        retry.wait_s = min(LONGEST_WAIT_S, max(FIRST_WAIT_S, 2 * retry.wait_s))
        retry.until_s = now_s + retry.wait_s
        retry.workers.add(worker)

    def forget(self, key: str) -> None:
        """Forget a task that ended."""
        self._retries.pop(key, None)

    def is_waiting(self, key: str, now_s: float) -> bool:
        """Return whether a task is not to be tried yet."""
        retry = self._retries.get(key)
        return retry is not None and now_s < retry.until_s

    def workers(self, key: str) -> set[str]:
        """Return the workers that a task avoids while there are others."""
        retry = self._retries.get(key)
        return retry.workers if retry is not None else set()
