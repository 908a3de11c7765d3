"""How long best-effort jobs wait for what the serving tasks leave.

Load: best-effort jobs past their deadline, with far more tasks than places, while
serving tasks reserve a quarter of the cores.
"""

from __future__ import annotations

from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.planning.shared_workers import SharedWorkersTestCase

# A job may have no run for this long while under half of the cores are reserved.
MAX_WAIT_S = 3.0
TASK_S = 1.2
PAST_DEADLINE_S = 60.0
PLAYED_S = 40.0
TASKS = 900


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
