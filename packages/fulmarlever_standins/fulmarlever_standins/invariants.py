"""Checks replies to callers and records of servers against the request invariants."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarlever_standins.backend import MAX_CONNECTIONS, SLOTS_PER_SERVER
from fulmarlever_standins.caller import CallerResult, Reply
from fulmarlever_standins.cluster import BackendTotals

LEAVING_LIMIT_S = 3.0
NOT_RUN_REPLIES = (Reply.NOT_RUN, Reply.REFUSED)


def find_violations(
    results: Iterable[CallerResult], totals: BackendTotals
) -> list[str]:
    """Return one line for each violated invariant."""
    return [
        *_find_exceeded_limits(totals),
        *_find_repeated_keys(totals),
        *(line for result in results for line in _find_false_replies(result, totals)),
    ]


def _find_exceeded_limits(totals: BackendTotals) -> Iterator[str]:
    rows = (
        ("overruns", totals.overruns, 0),
        ("requests in progress", totals.max_in_progress, SLOTS_PER_SERVER),
        ("connections", totals.max_connections, MAX_CONNECTIONS),
        (
            "seconds between leaving and the last start",
            totals.last_start_leaving_s,
            LEAVING_LIMIT_S,
        ),
    )
    for name, value, limit in rows:
        if value > limit:
            yield f"{name}: {value}, limit {limit}"


def _find_repeated_keys(totals: BackendTotals) -> Iterator[str]:
    for key, count in totals.keys.items():
        if count > 1:
            yield f"idempotency key {key} ran {count} times"


def _find_false_replies(result: CallerResult, totals: BackendTotals) -> Iterator[str]:
    request = result.request
    runs = totals.runs.get(request.request_id, 0)
    name = f"{request.method} {request.request_id} through {result.entry}"
    if result.reply is Reply.WRONG:
        yield f"{name}: {result.detail}"
    if result.reply in NOT_RUN_REPLIES and runs:
        yield f"{name}: reported as not run but ran {runs} times ({result.detail})"
    if result.reply is Reply.SERVED and not runs:
        yield f"{name}: was answered but never ran"
    if not request.is_idempotent and runs > 1:
        yield f"{name}: ran {runs} times"
