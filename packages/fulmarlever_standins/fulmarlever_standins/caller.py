"""A caller that checks whether each answer is whole and belongs to its request."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from enum import StrEnum

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from fulmarlever_standins.backend import answer_body

PROBLEM_TYPE = "application/problem+json"
REQUEST_TIMEOUT_S = 30.0


class Reply(StrEnum):
    """What a caller got for one request.

    ``LOST`` is a connection that ended or stayed silent, ``WRONG`` an answer that is
    not whole, belongs to another request or breaks the interface.
    """

    SERVED = "served"
    FAULT = "fault"
    REFUSED = "refused"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LOST = "lost"
    WRONG = "wrong"


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """One request and what the backend server is to do with it."""

    request_id: str
    service: str
    method: str = "GET"
    path: str = "items"
    body: bytes = b""
    key: str = ""
    work_ms: int = 0
    answer_bytes: int = 0
    deadline_ms: int = 0
    fault: str = ""

    @property
    def is_idempotent(self) -> bool:
        """Return whether the example configurations let the request run again."""
        return self.method != "POST"

    def headers(self) -> dict[str, str]:
        """Return the headers, without the ones that are not set."""
        pairs = {
            "X-Request-Id": self.request_id,
            "Idempotency-Key": self.key,
            "X-Work-Ms": self.work_ms,
            "X-Answer-Bytes": self.answer_bytes,
            "X-Deadline-Ms": self.deadline_ms,
            "X-Fault": self.fault,
        }
        return {name: str(value) for name, value in pairs.items() if value}

    def expected_answer(self) -> bytes:
        """Return the body that the backend server gives."""
        return answer_body(self.request_id, self.method, self.body, self.answer_bytes)


@dataclass(slots=True, frozen=True)
class CallerResult:
    """The reply to one request. Times are seconds; ``started`` is monotonic."""

    request: CallerRequest
    entry: str
    reply: Reply
    status: int
    detail: str
    started: float
    latency_s: float
    retry_after: str = ""


class Caller:
    """A client with as many connections as it needs."""

    def __init__(self, timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self.session = ClientSession(
            connector=TCPConnector(limit=0, force_close=False),
            timeout=ClientTimeout(total=timeout_s),
            auto_decompress=False,
        )

    async def __aenter__(self) -> Caller:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()

    async def send(
        self, request: CallerRequest, entry: str, address: str
    ) -> CallerResult:
        """Send a request through the entry VM of a name and an address."""
        started = time.monotonic()
        try:
            async with self.session.request(
                request.method,
                f"http://{address}/{request.service}/{request.path}",
                data=request.body or None,
                headers=request.headers(),
                allow_redirects=False,
            ) as answer:
                body = await answer.read()
                reply, detail = classify(request, answer, body)
                status = answer.status
                retry_after = answer.headers.get("Retry-After", "")
        except (TimeoutError, ClientError, OSError) as exc:
            reply, detail, status, retry_after = Reply.LOST, repr(exc), 0, ""
        latency_s = time.monotonic() - started
        return CallerResult(
            request, entry, reply, status, detail, started, latency_s, retry_after
        )


def classify(
    request: CallerRequest, answer: ClientResponse, body: bytes
) -> tuple[Reply, str]:
    """Return what an answer means, with its detail."""
    if answer.content_type == PROBLEM_TYPE:
        return _classify_problem(answer, body)
    if answer.status == 200:
        if body == request.expected_answer():
            return Reply.SERVED, ""
        return Reply.WRONG, f"body {body[:200]!r}"
    if request.fault == "error" and answer.status == 500:
        return Reply.FAULT, "the backend server's own error"
    return Reply.WRONG, f"status {answer.status} without a problem: {body[:200]!r}"


def _classify_problem(answer: ClientResponse, body: bytes) -> tuple[Reply, str]:
    try:
        problem = json.loads(body)
        outcome, detail = problem["outcome"], f"{problem['title']}: {problem['detail']}"
    except (ValueError, KeyError, TypeError):
        return Reply.WRONG, f"malformed problem: {body[:200]!r}"
    if outcome == "unknown":
        return Reply.UNKNOWN, detail
    if outcome != "not-run":
        return Reply.WRONG, f"unknown outcome {outcome!r}"
    is_final = answer.status in (429, 503, 504)
    if not is_final:
        return Reply.REFUSED, detail
    retry_after = answer.headers.get("Retry-After", "")
    if not retry_after.isdigit() or int(retry_after) < 1:
        return Reply.WRONG, f"Retry-After {retry_after!r}"
    return Reply.NOT_RUN, detail
