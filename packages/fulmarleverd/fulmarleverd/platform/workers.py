"""Calls to workers: start, stop or throttle a run, extend the lease and read runs.

All incarnations of a worker share its id and its address, so neither tells which one a
call reaches. A report does. So the first call on each connection asks for one that
changes nothing, and the others follow only if the incarnation is the one meant. A call
that such a report can replace needs no check.
"""

from __future__ import annotations

from fulmarlever.outcomes import OutcomeUnknown, Unavailable, failed
from fulmarleverd.platform.http import (
    CallResult,
    HTTPClient,
    OtherPeer,
    PeerCheck,
)
from fulmarleverd.platform.json_values import (
    FORMAT_ERRORS,
    require_count,
    require_number,
    require_text,
)
from fulmarleverd.scheduling.ports import (
    REJECT_CAPACITY,
    REJECT_INCARNATION,
    REJECT_INVALID,
    REJECT_LEASE_OVER,
    REJECT_RUN,
    REJECT_TICKET,
    REJECT_TOKEN,
    REJECT_UNHEALTHY,
    Accepted,
    Command,
    CommandResult,
    EndedTask,
    OtherIncarnation,
    Rejected,
    RunningTask,
    WorkerReport,
)
from fulmarleverd.scheduling.specs import WorkerEntry

# One waits for a report, the others carry commands.
MAX_CONNECTIONS_PER_WORKER = 6
COMMAND_TIMEOUT_S = 0.5
# How much longer than its wait a call for a report may take.
REPORT_MARGIN_S = 0.6
# A worker reports at most this many ends at a time, the earliest ones.
MAX_ENDS_PER_REPORT = 500
REPORT_PATH = "/hold"
# Carries the id of the worker that a call is meant for, which its incarnations share.
WORKER_ID_HEADER = "X-Target-Instance"

REASONS = {
    "fence": REJECT_TOKEN,
    "old": REJECT_RUN,
    "late": REJECT_LEASE_OVER,
    "room": REJECT_CAPACITY,
    "ticket": REJECT_TICKET,
}
STATUS_REASONS = {
    400: REJECT_INVALID,
    421: REJECT_INCARNATION,
    429: REJECT_UNHEALTHY,
    503: REJECT_UNHEALTHY,
}


class AuthorityWorkers:
    """The client of all workers, with their JSON format."""

    __slots__ = ("_http",)

    def __init__(self, http: HTTPClient) -> None:
        self._http = http

    async def start(self, worker: WorkerEntry, command: Command) -> CommandResult:
        """Start a run of a task."""
        body = _command_body(command)
        body["spec"] = command.payload
        # The end of the lease of all runs on the worker, on the worker's clock.
        body["deadlineMs"] = command.lease_until_ms
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        return await self._send_command(worker, "/run-start", body)

    async def stop(self, worker: WorkerEntry, command: Command) -> CommandResult:
        """Stop a run."""
        return await self._send_command(worker, "/run-stop", _command_body(command))

    async def set_speed_limit(
        self, worker: WorkerEntry, command: Command, percent: int
    ) -> CommandResult:
        """Limit a run to a percentage of its full speed."""
        body = {**_command_body(command), "percent": percent}
        return await self._send_command(worker, "/pace", body)

    async def extend_lease(
        self,
        worker: WorkerEntry,
        token: int,
        lease_until_ms: int,
        last_end_committed: int,
        wait_s: float,
    ) -> WorkerReport | Rejected | Unavailable | OutcomeUnknown:
        """Extend the lease and wait for a report; see ``WorkerCalls.extend_lease``."""
        body = {"fencingToken": token, "lastSeen": last_end_committed}
        if lease_until_ms:
            body["deadlineMs"] = lease_until_ms
        if wait_s:
            body["waitMs"] = int(wait_s * 1000)
        timeout_s = wait_s + REPORT_MARGIN_S
        changes_nothing = not lease_until_ms and not last_end_committed
        check = None if changes_nothing else _check(worker, token)
        response = await self._post(worker, REPORT_PATH, body, timeout_s, check)
        if failed(response):
            return response
        if response.status != 200:
            return _rejected(response.status, response.body)
        try:
            return _report(response.body)
        except FORMAT_ERRORS as exc:
            return OutcomeUnknown(f"malformed report from the worker: {exc!r}")

    async def _send_command(
        self, worker: WorkerEntry, path: str, body: dict
    ) -> CommandResult:
        check = _check(worker, body["fencingToken"])
        response = await self._post(worker, path, body, COMMAND_TIMEOUT_S, check)
        if failed(response):
            return response
        if response.status == 200:
            return Accepted(_clock_ms(response.body))
        return _rejected(response.status, response.body)

    async def _post(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict,
        timeout_s: float,
        check: PeerCheck | None,
    ) -> CallResult | OtherIncarnation:
        response = await self._http.call(
            "POST", worker.address, path, timeout_s, body, _headers(worker), check
        )
        if isinstance(response, OtherPeer):
            return OtherIncarnation(response.peer)
        return response


def _headers(worker: WorkerEntry) -> dict[str, str]:
    return {WORKER_ID_HEADER: worker.id}


def _check(worker: WorkerEntry, token: int) -> PeerCheck:
    """Return the check whether the incarnation of an entry answers a call."""
    body = {"fencingToken": token, "lastSeen": 0}
    return PeerCheck(
        worker.incarnation, REPORT_PATH, body, _headers(worker), _incarnation
    )


def _command_body(command: Command) -> dict:
    return {"task": command.task, "run": command.run, "fencingToken": command.token}


def _rejected(status: int, body: object) -> Rejected:
    fields = body if isinstance(body, dict) else {}
    reason = fields.get("reason", "")
    found = REASONS.get(reason) if isinstance(reason, str) else None
    if found is None:
        text = f"the worker answered with status {status}: {str(body)[:80]!a}"
        found = STATUS_REASONS.get(status, text)
    return Rejected(found, _clock_ms(fields))


def _clock_ms(body: object) -> int:
    """Return the worker's clock as an answer states it, 0 if it states none."""
    try:
        return require_count(body["clockMs"])
    except FORMAT_ERRORS:
        return 0


def _incarnation(body: dict) -> str:
    """Return what identifies an incarnation, the Unix time at which it started."""
    return str(require_count(body["born"]))


def _report(body: dict) -> WorkerReport:
    ended = tuple(_ended(row) for row in body.get("finished") or ())
    return WorkerReport(
        require_count(body["clockMs"]),
        _incarnation(body),
        tuple(_running(row) for row in body.get("running") or ()),
        ended,
        has_more_ends=len(ended) >= MAX_ENDS_PER_REPORT,
        born_s=require_count(body["born"]) / 1000.0,
    )


def _running(row: list) -> RunningTask:
    task, run, saved, percent, *rest = row
    return RunningTask(
        require_text(task),
        require_count(run),
        require_text(saved or ""),
        _figure(percent),
        # The tail latency in ms of a serving task, thousandths of a core of any other.
        _figure(rest[0]) if rest else 0.0,
    )


def _figure(value: object) -> float:
    """Return a figure about a run, 0 if it is missing or malformed.

    A wrong figure hides no run.
    """
    try:
        return float(require_number(value))
    except FORMAT_ERRORS:
        return 0.0


def _ended(row: list) -> EndedTask:
    number, task, run, how, saved = row[:5]
    return EndedTask(
        require_count(number),
        require_text(task),
        require_count(run),
        require_text(how),
        require_text(saved or ""),
    )
