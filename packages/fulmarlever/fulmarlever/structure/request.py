"""Requests of callers, their answers, and the peer messages that carry both."""

from __future__ import annotations

import base64
import json
import math
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from fulmarlever.outcomes import Failure, InProgress, NotRun, OutcomeUnknown
from fulmarlever.structure.messages import message

PROBLEM_TYPE = "application/problem+json"
IN_PROGRESS_STATUS = 409
RETRY_STATUSES = frozenset((429, 503, 504))
HASH_BITS = 64
MAX_RETRY_AFTER_S = 30.0

HeaderList = list[tuple[str, str]]


class Outcome(StrEnum):
    """Whether a request that no backend server answered may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Request:
    """One request of a caller, with its whole body.

    ``path`` is the part of the URL path after the service name, with the query string.
    ``deadline`` is a time of this process's monotonic clock, in seconds. ``key`` is the
    idempotency key, empty if the caller sent none.
    """

    service: str
    method: str
    path: str
    headers: HeaderList
    body: bytes
    request_id: str
    deadline: float
    key: str = ""

    def digest(self) -> str:
        """Return a hex digest of method, path and body, to compare repetitions."""
        hasher = xxhash.xxh3_128()
        for part in (self.method.encode(), self.path.encode(), self.body):
            hasher.update(len(part).to_bytes(8, "big"))
            hasher.update(part)
        return hasher.hexdigest()

    def hash_fraction(self) -> float:
        """Return a hash in [0, 1) of the service and the idempotency key.

        It is the same for every repetition of a request. Without a key, the request id
        is hashed.
        """
        seed = f"{self.service}/{self.key or self.request_id}"
        return xxhash.xxh3_64_intdigest(seed.encode()) / (1 << HASH_BITS)


@dataclass(slots=True)
class Answer:
    """A complete HTTP response.

    ``outcome`` is empty if a backend server answered, else a value of :class:`Outcome`.
    """

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""
    outcome: str = ""

    @classmethod
    def from_problem(
        cls,
        status: int,
        title: str,
        detail: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float = 1.0,
    ) -> Answer:
        """Build the problem response to a request that no backend server answered.

        ``retry_after_s`` is in seconds, raised to at least 1, lowered to at most
        ``MAX_RETRY_AFTER_S``, and rounded up. It is sent as ``Retry-After`` with
        status 409, and with ``RETRY_STATUSES`` if the request did not run.
        """
        problem = {"title": title, "detail": detail, "outcome": str(outcome)}
        headers = [("Content-Type", PROBLEM_TYPE)]
        is_retriable = outcome is Outcome.NOT_RUN and status in RETRY_STATUSES
        if is_retriable or status == IN_PROGRESS_STATUS:
            seconds = math.ceil(min(max(retry_after_s, 1.0), MAX_RETRY_AFTER_S))
            headers.append(("Retry-After", str(seconds)))
        return cls(status, headers, json.dumps(problem).encode(), str(outcome))

    @classmethod
    def from_failure(cls, failure: Failure) -> Answer:
        """Build the problem response for a failure."""
        if isinstance(failure, OutcomeUnknown):
            return cls.from_problem(
                502, "Outcome unknown", failure.reason, Outcome.UNKNOWN
            )
        if isinstance(failure, InProgress):
            return cls.from_problem(
                IN_PROGRESS_STATUS,
                "In progress",
                failure.reason,
                Outcome.UNKNOWN,
                failure.retry_after_s,
            )
        status = getattr(failure, "status", 503)
        retry_after_s = getattr(failure, "retry_after_s", 1.0)
        return cls.from_problem(
            status, "Not run", failure.reason, Outcome.NOT_RUN, retry_after_s
        )

    @classmethod
    def from_wire(cls, data: list) -> Answer:
        """Build an answer from its wire form."""
        status, headers, body, outcome = data
        return cls(status, [(name, value) for name, value in headers], body, outcome)

    def to_wire(self) -> list:
        """Return the wire form for peers: status, headers, body, outcome."""
        headers = [list(pair) for pair in self.headers]
        return [self.status, headers, self.body, self.outcome]

    @classmethod
    def from_row(cls, data: list) -> Answer:
        """Build an answer from its row in the platform's table."""
        status, headers, text, outcome = data
        return cls.from_wire([status, headers, base64.b64decode(text), outcome])

    def to_row(self) -> list:
        """Return the row for the platform's table, with the body as base64 text."""
        status, headers, body, outcome = self.to_wire()
        return [status, headers, base64.b64encode(body).decode(), outcome]


@message("forward")
@dataclass(slots=True)
class Forward:
    """A request that is forwarded to a daemon with a free slot.

    ``deadline_s`` is the time left in seconds, ``hops`` the number of further daemons
    to which it may be forwarded, and ``visited`` the VMs that have handled it. If
    ``may_wait``, the receiver may queue it until a slot is free.
    """

    service: str
    method: str
    path: str
    headers: list
    body: bytes
    request_id: str
    key: str
    deadline_s: float
    hops: int
    visited: list[str]
    may_wait: bool = False

    @classmethod
    def from_request(
        cls,
        req: Request,
        deadline_s: float,
        hops: int,
        visited: list[str],
        may_wait: bool,
    ) -> Forward:
        """Build the message for a request. The arguments are as for the class."""
        return cls(
            req.service,
            req.method,
            req.path,
            [list(pair) for pair in req.headers],
            req.body,
            req.request_id,
            req.key,
            deadline_s,
            hops,
            visited,
            may_wait,
        )

    def to_request(self, now: float) -> Request:
        """Return the request, with its deadline counted from ``now``.

        ``now`` is the time of this process's monotonic clock, in seconds.
        """
        return Request(
            self.service,
            self.method,
            self.path,
            [(name, value) for name, value in self.headers],
            self.body,
            self.request_id,
            now + self.deadline_s,
            self.key,
        )


@message("forwarded")
@dataclass(slots=True)
class Forwarded:
    """The result of a forwarded request: an answer, or the reason for having none.

    ``answer`` is the wire form of an :class:`Answer`, or ``None``. Without an answer,
    ``is_unknown`` means that the request may have run, else it did not run. In the
    latter case, ``retry_after_s`` is in seconds, and ``status`` is the HTTP status for
    the caller.
    """

    answer: list | None
    is_unknown: bool = False
    reason: str = ""
    retry_after_s: float = 1.0
    status: int = 503

    @classmethod
    def from_result(cls, result: Answer | Failure) -> Forwarded:
        """Build the message from the result of the request."""
        if isinstance(result, Answer):
            return cls(result.to_wire())
        if isinstance(result, OutcomeUnknown):
            return cls(None, True, result.reason)
        retry_after_s = getattr(result, "retry_after_s", 1.0)
        status = getattr(result, "status", 503)
        return cls(None, False, result.reason, retry_after_s, status)

    def to_result(self) -> Answer | NotRun | OutcomeUnknown:
        """Return the result that the message carries."""
        if self.answer is not None:
            return Answer.from_wire(self.answer)
        if self.is_unknown:
            return OutcomeUnknown(self.reason)
        return NotRun(self.reason, self.retry_after_s, self.status)
