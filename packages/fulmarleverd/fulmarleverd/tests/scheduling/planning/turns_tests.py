"""How long best-effort jobs wait for what the serving tasks leave.

Load: best-effort jobs past their deadline, with far more tasks than places, while
serving tasks reserve a quarter of the cores.
"""

from __future__ import annotations

from dataclasses import replace

from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.planning.order import StartQuota
from fulmarleverd.scheduling.planning.tolerances import LOW_HEADROOM_AFTER_S, Tolerances
from fulmarleverd.scheduling.planning.turns import Turns
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.planning.shared_workers import (
    SERVING,
    SharedWorkersTestCase,
)

# A job may have no run for this long while under half of the cores are reserved.
MAX_WAIT_S = 3.0
TASK_S = 1.2
PAST_DEADLINE_S = 60.0
PLAYED_S = 40.0
TASKS = 900
ALL = [("runs", 9), ("idle", 9), ("batch", 9)]


def best_effort(image: str) -> StepSpec:
    return StepSpec(
        count=TASKS, cpu_m=4000, memory_mb=2000, image=image, is_best_effort=True
    )


class TurnsTests(SharedWorkersTestCase):
    coefficients = {"light": 0.1, "heavy": 3.0}

    def add_best_effort(self, image: str, jobs: int) -> list[Job]:
        spec = best_effort(image)
        return [self.add_job(f"{image}-{number}", spec) for number in range(jobs)]

    # Guards against a best-effort job that stands still while others that have runs go
    # on starting tasks, or that starts only to be paused and stopped.
    def test_the_wait_of_each_best_effort_job_is_bounded(self):
        rows = (
            ("one job that takes no headroom", 2.0, 1, 9),
            ("some jobs that take no headroom", 2.0, 3, 9),
            ("jobs that are paused", 1.6, 0, 8),
        )
        for _, headroom, light, heavy in self.each(rows):
            self.setUp()
            self.headroom = headroom
            jobs = self.add_best_effort("heavy", heavy)
            jobs += self.add_best_effort("light", light)
            self.clock.advance(PAST_DEADLINE_S)
            self.play(jobs, PLAYED_S, TASK_S)
            longest = {name: round(s, 1) for name, s in self.longest_idle_s.items()}
            self.assertLessEqual(max(longest.values()), MAX_WAIT_S, longest)

    # Guards against a task that no worker can run and that holds all others for good.
    def test_who_may_start_while_a_job_waits(self):
        wide = replace(SERVING, cpu_m=20_000)
        heavy = best_effort("heavy")
        too_large = replace(heavy, cpu_m=90_000)
        rows = (
            ("a job waits", heavy, None, [("idle", 1), ("batch", 9)]),
            ("its task fits nowhere", too_large, None, ALL),
            ("half of the cores are reserved", heavy, wide, ALL),
        )
        for _, waiting, other, expected in self.each(rows):
            self.setUp()
            if other is not None:
                job = self.add_job("other", other)
                for index, worker in enumerate(self.workers):
                    self.start(job, worker, index=index)
            self.add_job("waiting", waiting)
            self.clock.advance(LOW_HEADROOM_AFTER_S)
            jobs = [self.add_job(j, best_effort("light")) for j in ("runs", "idle")]
            jobs.append(self.add_job("batch", StepSpec(count=TASKS, cpu_m=4000)))
            self.start(jobs[0], self.workers[0])
            ready = list(self.owner.open_jobs.ready_steps())
            turns = Turns(self.owner, Tolerances(self.owner), ready)
            quotas = [StartQuota(next(job.steps()), 9) for job in jobs]
            found = [(q.step.job.id, q.limit) for q in turns.limit(quotas)]
            self.assertEqual(found, expected)
