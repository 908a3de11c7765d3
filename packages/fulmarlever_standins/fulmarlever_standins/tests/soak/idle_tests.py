"""Jobs that wait although workers have room are found once faults have ended."""

from __future__ import annotations

import asyncio

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.authority.network import Network
from fulmarlever_standins.authority.record import RunRecord
from fulmarlever_standins.authority.virtual_time import run_virtual
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarlever_standins.soak.callers import CallerJob, Outcome
from fulmarlever_standins.soak.idle import MAX_IDLE_S, SETTLED_AFTER_S, IdleWatch

TASKS = ("j.0.0.0", "j.0.1.0")
FOUND_AFTER_S = SETTLED_AFTER_S + MAX_IDLE_S + 1.0


class Play:
    """One job on one worker, as its caller and the worker see it."""

    def __init__(self) -> None:
        self.network = Network()
        self.record = RunRecord()
        self.worker = WorkerCore("w", "w:1", "z")
        self.record.attach(self.worker)
        self.network.add_worker(self.worker)
        self.jobs = [CallerJob("j", "labels", (1, 1), Outcome.ACCEPTED)]
        self.state = "running"

    async def call(self, method: str, job: CallerJob) -> tuple[int, dict]:
        return 200, {"state": self.state}

    def begin(self, task: str) -> None:
        self.worker.running[(task, 1)] = None
        self.worker.on_start(self.worker, (task, 1))

    def end(self, task: str, outcome: str = "done") -> None:
        del self.worker.running[(task, 1)]
        self.worker.last_end_number = 1
        self.worker.ends.append([1, task, 1, outcome, ""])
        self.worker.on_end(self.worker, (task, 1), outcome)

    def finish(self, *tasks: str) -> None:
        for task in tasks:
            self.begin(task)
            self.end(task)


def fill(play: Play, cores: int) -> None:
    for number in range(cores):
        play.begin(f"other.0.0.{number}")


def cancel(play: Play) -> None:
    play.jobs[0].may_be_cancelled = True


def leave_behind(play: Play) -> None:
    play.network.lose_answers = 1


def strike(play: Play) -> None:
    play.network.lose_answers = 1
    loop = asyncio.get_running_loop()
    loop.call_later(5.0, setattr, play.network, "lose_answers", 0)


def run_later(play: Play) -> None:
    loop = asyncio.get_running_loop()
    loop.call_later(SETTLED_AFTER_S + MAX_IDLE_S - 1.0, play.begin, TASKS[0])


class IdleWatchTests(TableTestCase):
    ROWS = (
        ("nothing has run", lambda play: None, True),
        ("the second step waits", lambda play: play.finish(TASKS[0]), True),
        ("the next answer may be lost", leave_behind, True),
        ("a third of the cores are used", lambda play: fill(play, 11), True),
        ("all has run", lambda play: play.finish(*TASKS), False),
        ("a task runs", lambda play: play.begin(TASKS[0]), False),
        ("a task runs soon enough", run_later, False),
        ("half of the cores are used", lambda play: fill(play, 16), False),
        ("the job has failed", lambda p: setattr(p, "state", "failed"), False),
        ("the caller may have cancelled it", cancel, False),
        ("an answer was lost meanwhile", strike, False),
    )

    def test_a_job_that_waits_is_found(self):
        for _, prepare, expected in self.each(self.ROWS):
            violations = run_virtual(self._watch(prepare))
            self.assertEqual(bool(violations), expected, violations)

    async def _watch(self, prepare) -> list[str]:
        play = Play()
        prepare(play)
        idle = IdleWatch(play, play)
        watch = asyncio.create_task(idle.run())
        await asyncio.sleep(FOUND_AFTER_S)
        watch.cancel()
        return idle.violations
