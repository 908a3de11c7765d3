"""Header fields that are passed on to servers and callers, and those that are not."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
IDENTIFYING = frozenset(("date", "server", "via", "x-backend-state", "x-powered-by"))
"""Fields of an answer that could reveal which setup or server produced it."""

NOT_RETURNED = HOP_BY_HOP | IDENTIFYING
DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "X-Request-Id"
STATE_HEADER = "X-Backend-State"
STATE_LEAVING = "leaving"
STATE_FULL = "full"
NOT_SENT = HOP_BY_HOP | {DEADLINE_HEADER.lower(), REQUEST_ID_HEADER.lower()}


def fields_to_send(fields: Iterable[tuple[str, str]]) -> Iterator[tuple[str, str]]:
    """Yield the fields of a request that are sent to a backend server."""
    for name, value in fields:
        if name.lower() not in NOT_SENT:
            yield name, value


def fields_to_return(fields: Iterable[tuple[str, str]]) -> Iterator[tuple[str, str]]:
    """Yield the fields of an answer that are returned to the caller."""
    for name, value in fields:
        if name.lower() not in NOT_RETURNED:
            yield name, value
