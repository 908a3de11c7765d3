"""A stand-in for a worker: its lease, fencing token, runs and their ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAX_LEASE_S = 10.0
STOP_DELAY_S = 0.1

RunKey = tuple[str, int]


class WorkerRun:
    """One active run on a worker, with times in seconds.

    ``key`` is the name of the task and the number of the run. ``speed_percent`` is the
    limit on the run's speed that the scheduler has set.
    """

    __slots__ = (
        "key",
        "started_s",
        "task_duration_s",
        "timer",
        "cpu",
        "checkpoint",
        "speed_percent",
    )

    def __init__(
        self, key: RunKey, started_s: float, task_duration_s: float, cpu: int
    ) -> None:
        self.key = key
        self.started_s = started_s
        self.task_duration_s = task_duration_s
        self.cpu = cpu
        self.timer: asyncio.TimerHandle | None = None
        self.checkpoint = ""
        self.speed_percent = 100


class WorkerCore:
    """One incarnation of a worker.

    Scenarios replace these functions: ``task_duration_s`` returns the seconds that a
    task runs, or ``None`` for a task that never ends; ``task_fails`` whether it ends as
    failed; ``task_usage`` the usage that its reports state. ``on_start`` and ``on_end``
    are called at the start and at the end of each run.

    ``running`` holds the active runs, ``ends`` the ends that are not acknowledged, as
    ``[number, task, run, outcome, checkpoint]``. Ends up to ``last_seen`` are
    forgotten, also those that occur after it was raised. ``last_end_number`` is the
    number of the latest end. ``lease_until_s`` is a time of the event loop.
    ``report_calls`` counts the calls for a report.
    """

    def __init__(self, id: str, address: str, zone: str, born: int = 1) -> None:
        self.id = id
        self.address = address
        self.zone = zone
        self.born = born
        self.cpu = 32000
        self.memory_mb = 128000
        self.state = "ready"
        self.labels = ["a", "r1-1"]
        self.task_duration_s: Callable[[str], float | None] = lambda task: 0.5
        self.task_fails: Callable[[str], bool] = lambda task: False
        self.task_usage: Callable[[str], float] = lambda task: 0.0
        self.on_start: Callable[[WorkerCore, RunKey], None] = lambda worker, key: None
        self.on_end: Callable[[WorkerCore, RunKey, str], None] = (
            lambda w, key, outcome: None
        )
        # Whether a start with a ticket is accepted; most queues need no ticket.
        self.accepts_ticket: Callable[[str, str], bool] = lambda ticket, task: True
        self.running: dict[RunKey, WorkerRun] = {}
        self.ends: list[list] = []
        self.token = 0
        self.lease_until_s = 0.0
        self.last_seen = 0
        self.last_end_number = 0
        # Ends with no expiry of the lease between them and their acknowledgement.
        self.known_ends: set[int] = set()
        self._lease_lapses = 0
        # Per unacknowledged end, how often the lease had expired before it.
        self._lapses_before_end: dict[int, int] = {}
        self.report_calls = 0
        self._last_ended_runs: dict[str, int] = {}
        # Per acknowledgement of ends still to come: up to which number, and how often
        # the lease had expired before it.
        self._early_acknowledgements: list[tuple[int, int]] = []
        self._changed = asyncio.Event()
        self._lease_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()

    def entry(self) -> dict:
        """Return the worker's row in the list of workers."""
        return {
            "service": "desk",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "remainingMs": 4000,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpus": 0},
            "labels": self.labels,
            "born": self.born,
            "clockMs": self.clock_ms(),
            "sequence": 1,
        }

    def clock_ms(self) -> int:
        """Return the time of the worker's own clock in milliseconds."""
        return int((self._loop.time() - self._started_s) * 1000) + 1000

    async def handle(self, path: str, body: dict, target: str) -> tuple:
        """Return the status and the body of the answer to one call.

        Status 421 means that ``target`` is another worker, 409 that the call was
        refused, such as for a fencing token older than the latest one.
        """
        if target != self.id:
            return 421, None
        if body.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = body.get("fencingToken", 0)
        handler = {
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/pace": self._pace,
        }.get(path)
        if handler is not None:
            return handler(body)
        return await self._extend_and_report(body)

    def _answer(self, reason: str = "") -> tuple:
        if reason:
            return 409, {"clockMs": self.clock_ms(), "reason": reason}
        return 200, {"clockMs": self.clock_ms()}

    def _start(self, body: dict) -> tuple:
        key = (body["task"], body["run"])
        self._extend_lease(body.get("deadlineMs", 0))
        if key in self.running:
            return self._answer()
        if body["run"] <= self._last_ended_runs.get(body["task"], 0):
            return self._answer("old")
        if body.get("deadlineMs", 0) <= self.clock_ms():
            return self._answer("late")
        if not self.accepts_ticket(body.get("ticket", ""), body["task"]):
            return self._answer("ticket")
        run = WorkerRun(
            key, self._loop.time(), self.task_duration_s(body["task"]) or 0.0, 0
        )
        run.checkpoint = body.get("checkpoint", "")
        self.running[key] = run
        self.on_start(self, key)
        if self.task_duration_s(body["task"]) is not None:
            outcome = "failed" if self.task_fails(body["task"]) else "done"
            run.timer = self._loop.call_later(
                run.task_duration_s, self._end, key, outcome
            )
        return self._answer()

    def _stop(self, body: dict) -> tuple:
        key = (body["task"], body["run"])
        task, run = key
        self._last_ended_runs[task] = max(run, self._last_ended_runs.get(task, 0))
        if key in self.running:
            self._loop.call_later(STOP_DELAY_S, self._end, key, "stopped")
        return self._answer()

    def _pace(self, body: dict) -> tuple:
        run = self.running.get((body["task"], body["run"]))
        if run is not None:
            run.speed_percent = body["percent"]
        return self._answer()

    def _extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease, never shortening it, up to ``MAX_LEASE_S`` from now."""
        remaining_s = min((deadline_ms - self.clock_ms()) / 1000.0, MAX_LEASE_S)
        if remaining_s <= 0.0:
            return
        until_s = self._loop.time() + remaining_s
        if until_s > self.lease_until_s:
            self.lease_until_s = until_s
            if self._lease_timer is not None:
                self._lease_timer.cancel()
            self._lease_timer = self._loop.call_at(until_s, self._expire_lease)

    def _expire_lease(self) -> None:
        self._lease_lapses += 1
        for key in list(self.running):
            self._end(key, "lapsed")

    def _end(self, key: RunKey, outcome: str) -> None:
        run = self.running.pop(key, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        task, number = key
        self._last_ended_runs[task] = max(number, self._last_ended_runs.get(task, 0))
        self.last_end_number += 1
        if self.last_end_number <= self.last_seen:
            self._forget_end(self.last_end_number)
            self.on_end(self, key, outcome)
            return
        self.ends.append([self.last_end_number, task, number, outcome, run.checkpoint])
        self._lapses_before_end[self.last_end_number] = self._lease_lapses
        self.on_end(self, key, outcome)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _forget_end(self, end_number: int) -> None:
        """Note an end that was acknowledged before it occurred; it is never reported.

        The first acknowledgement that reached it counts.
        """
        lapses = next(
            lapses
            for last_seen, lapses in self._early_acknowledgements
            if last_seen >= end_number
        )
        if lapses == self._lease_lapses:
            self.known_ends.add(end_number)

    async def _extend_and_report(self, body: dict) -> tuple:
        self.report_calls += 1
        self._extend_lease(body.get("deadlineMs", 0))
        self._acknowledge(body["lastSeen"])
        if not self.ends and body.get("waitMs"):
            try:
                async with asyncio.timeout(body["waitMs"] / 1000.0):
                    await self._changed.wait()
            except TimeoutError:
                pass
        running = [
            [*key, run.checkpoint, self._progress_percent(run), self.task_usage(key[0])]
            for key, run in self.running.items()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "finished": self.ends[:500],
        }

    def _acknowledge(self, last_seen: int) -> None:
        if last_seen > max(self.last_seen, self.last_end_number):
            self._early_acknowledgements.append((last_seen, self._lease_lapses))
        occurred = min(last_seen, self.last_end_number)
        for number in range(self.last_seen + 1, occurred + 1):
            if self._lapses_before_end.pop(number, -1) == self._lease_lapses:
                self.known_ends.add(number)
        self.last_seen = max(self.last_seen, last_seen)
        self.ends = [end for end in self.ends if end[0] > self.last_seen]

    def _progress_percent(self, run: WorkerRun) -> int:
        if not run.task_duration_s:
            return 100
        return int(
            100 * min(1.0, (self._loop.time() - run.started_s) / run.task_duration_s)
        )
