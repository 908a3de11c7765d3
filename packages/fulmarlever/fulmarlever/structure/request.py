"""Requests of callers, answers to them, and the peer messages that carry both."""

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
FRACTION_BITS = 64
MAX_RETRY_AFTER_S = 30.0

HeaderList = list[tuple[str, str]]


class Outcome(StrEnum):
    """What became of a request that no backend server answered."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Request:
    """One request of a caller, read whole.

    ``path`` is the part after the service name, with the query string. ``deadline``
    is a time of this process's monotonic clock. ``key`` is the idempotency key, empty
    when the caller gave none.
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
        """Return a digest of method, path and body, to compare repeated requests."""
        hasher = xxhash.xxh3_128()
        for part in (self.method.encode(), self.path.encode(), self.body):
            hasher.update(len(part).to_bytes(8, "big"))
            hasher.update(part)
        return hasher.hexdigest()

    def hash_fraction(self) -> float:
        """Return a number in [0, 1) that is the same for every repeat of a request."""
        seed = f"{self.service}/{self.key or self.request_id}"
        return xxhash.xxh3_64_intdigest(seed.encode()) / (1 << FRACTION_BITS)


@dataclass(slots=True)
class Answer:
    """A whole answer. ``outcome`` is empty when a backend server gave it."""

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
        """Build the answer to a request that no backend server answered."""
        document = {"title": title, "detail": detail, "outcome": str(outcome)}
        headers = [("Content-Type", PROBLEM_TYPE)]
        is_retriable = outcome is Outcome.NOT_RUN and status in RETRY_STATUSES
        if is_retriable or status == IN_PROGRESS_STATUS:
            seconds = math.ceil(min(max(retry_after_s, 1.0), MAX_RETRY_AFTER_S))
            headers.append(("Retry-After", str(seconds)))
        return cls(status, headers, json.dumps(document).encode(), str(outcome))

    @classmethod
    def from_failure(cls, failure: Failure) -> Answer:
        """Build the problem answer of a failure."""
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
        """Return the form that goes to peers."""
        headers = [list(pair) for pair in self.headers]
        return [self.status, headers, self.body, self.outcome]

    @classmethod
    def from_row(cls, data: list) -> Answer:
        """Build an answer from its form in the platform's table."""
        status, headers, text, outcome = data
        return cls.from_wire([status, headers, base64.b64decode(text), outcome])

    def to_row(self) -> list:
        """Return the form kept in the platform's table, which holds no raw bytes."""
        status, headers, body, outcome = self.to_wire()
        return [status, headers, base64.b64encode(body).decode(), outcome]


@message("forward")
@dataclass(slots=True)
class Forward:
    """A request that travels to a daemon with a free slot.

    ``deadline_s`` is the time left, ``hops`` the number of further daemons it may be
    passed on to, and ``visited`` the VMs that have seen it. With ``may_wait`` the
    receiver may let it wait for a slot.
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
        """Build the message that carries a request."""
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
        """Return the carried request, its deadline counted from ``now``."""
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
    """The result of a forwarded request: an answer, or why there is none.

    ``answer`` is the wire form of an :class:`Answer`, or ``None``. Without one,
    ``is_unknown`` tells an unknown outcome from a request that did not run.
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
