"""The table rows that mark workers as drained by an operator."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarlever.structure.table import Change

DRAIN_PREFIX = "drain/"
WORKER_ROLE = "worker"


def drained_workers(keys: Iterable[str]) -> frozenset[str]:
    """Return the names of the drained workers from the keys of rows."""
    return frozenset(
        key.removeprefix(DRAIN_PREFIX) for key in keys if key.startswith(DRAIN_PREFIX)
    )


def drain_change(worker: str, operator: str, now_s: float, is_draining: bool) -> Change:
    """Return the change of the table that starts or ends the drain of a worker.

    ``now_s`` is the Unix time in seconds, stored as the start of the drain.
    """
    key = f"{DRAIN_PREFIX}{worker}"
    if not is_draining:
        return Change(deletes=[key])
    return Change(writes={key: {"since": now_s, "operator": operator}})
