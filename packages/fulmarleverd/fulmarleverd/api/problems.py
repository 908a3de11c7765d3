"""Answers for failures as ``application/problem+json`` documents."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web

from fulmarlever.findings import Findings
from fulmarlever.outcomes import (
    Conflict,
    Failure,
    NotRun,
    OutcomeUnknown,
    Refused,
    Unavailable,
)

PROBLEM_TYPE = "application/problem+json"
RETRY_AFTER_S = 1

NOT_RUN = "not-run"
UNKNOWN = "unknown"

# class of the failure, status, title, and whether the operation may have run
FAILURE_PROBLEMS = (
    (Findings, 422, "the file has findings", NOT_RUN),
    (Conflict, 409, "another change came first", NOT_RUN),
    (Refused, 403, "refused", NOT_RUN),
    (Unavailable, 503, "unavailable", NOT_RUN),
    (OutcomeUnknown, 502, "outcome unknown", UNKNOWN),
    (NotRun, 503, "not run", NOT_RUN),
)


def problem(
    status: int,
    title: str,
    detail: str,
    outcome: str = NOT_RUN,
    **members: Any,
) -> web.Response:
    """Return a problem answer.

    It has a ``Retry-After`` header if the request did not run and may be repeated.
    ``members`` are added to the document.
    """
    body = {"title": title, "detail": detail, "outcome": outcome, **members}
    headers = {}
    if status in (429, 503) and outcome == NOT_RUN:
        headers["Retry-After"] = str(RETRY_AFTER_S)
    return web.Response(
        status=status,
        text=json.dumps(body),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def from_failure(failure: Failure, **members: Any) -> web.Response:
    """Return the problem answer for a failure; unknown classes get the status 500."""
    if isinstance(failure, Findings):
        members["findings"] = failure.to_wire()
    for failure_class, status, title, outcome in FAILURE_PROBLEMS:
        if isinstance(failure, failure_class):
            return problem(status, title, failure.reason, outcome, **members)
    return problem(500, "failed", failure.reason, UNKNOWN)
