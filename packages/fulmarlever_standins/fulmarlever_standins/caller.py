"""An HTTP client that checks that each answer is complete and matches its request."""

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
    """The result of one request, as its caller sees it.

    ``SERVED`` is the expected answer and ``FAULT`` a requested error of the backend
    server. ``REFUSED`` and ``NOT_RUN`` say that the request was not run; only the
    latter may be retried. ``UNKNOWN`` says that it may have run. ``LOST`` is a closed
    connection or a timeout, ``WRONG`` an answer that is incomplete, belongs to another
    request or violates the interface.
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
    """One request and the instructions to the simulated backend server.

    ``key`` is the idempotency key; with an empty one the header is left out.
    ``work_ms`` is the time that the request takes and ``answer_bytes`` the least size
    of the answer's body. ``deadline_ms`` is relative to the start; 0 means none.
    ``fault`` is ``hang``, ``close``, ``truncate``, ``error`` or empty.
    """

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
        """Return whether the example configurations declare the request idempotent."""
        return self.method != "POST"

    def headers(self) -> dict[str, str]:
        """Return the headers of the fields that are set."""
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
        """Return the body of the backend server's complete answer."""
        return answer_body(self.request_id, self.method, self.body, self.answer_bytes)


@dataclass(slots=True, frozen=True)
class CallerResult:
    """The reply to one request through the entry VM named ``entry``.

    ``status`` is 0 without an answer. ``started`` is a monotonic time in seconds and
    ``retry_after`` the text of the header, empty if there was none.
    """

    request: CallerRequest
    entry: str
    reply: Reply
    status: int
    detail: str
    started: float
    latency_s: float
    retry_after: str = ""


class Caller:
    """An HTTP client without a limit of connections.

    A request without a complete answer after ``timeout_s`` seconds is ``Reply.LOST``.
    """

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
        """Send a request through one entry VM and classify the answer.

        ``entry`` is the name of the VM and ``address`` the ``ADDRESS:PORT`` for
        callers. Connection errors and timeouts give ``Reply.LOST``; none is raised.
        """
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
    """Return the reply that an answer stands for, and a detail for people."""
    if answer.content_type == PROBLEM_TYPE:
        return _classify_problem(answer, body)
    if answer.status == 200:
        if body == request.expected_answer():
            return Reply.SERVED, ""
        return Reply.WRONG, f"body {body[:200]!r}"
    if request.fault == "error" and answer.status == 500:
        return Reply.FAULT, "the backend server's own error"
    return (
        Reply.WRONG,
        f"status {answer.status} without problem details: {body[:200]!r}",
    )


def _classify_problem(answer: ClientResponse, body: bytes) -> tuple[Reply, str]:
    try:
        problem = json.loads(body)
        outcome, detail = problem["outcome"], f"{problem['title']}: {problem['detail']}"
    except (ValueError, KeyError, TypeError):
        return Reply.WRONG, f"malformed problem details: {body[:200]!r}"
    if outcome == "unknown":
        return Reply.UNKNOWN, detail
    if outcome != "not-run":
        return Reply.WRONG, f"unknown outcome {outcome!r}"
    is_retryable = answer.status in (429, 503, 504)
    if not is_retryable:
        return Reply.REFUSED, detail
    retry_after = answer.headers.get("Retry-After", "")
    if not retry_after.isdigit() or int(retry_after) < 1:
        return Reply.WRONG, f"Retry-After {retry_after!r}"
    return Reply.NOT_RUN, detail
