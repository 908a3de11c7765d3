"""The stored progress of a job is restored by the next owner."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.jobs.tasks import Job, JobState, Task
from fulmarleverd.scheduling.persistence.progress_rows import (
    StoredProgress,
    StoredState,
    join_progress,
    pack_progress,
    progress_rows,
    restore_progress,
    unpack_state,
)
from fulmarleverd.scheduling.persistence.rows import ZLIB_MARK, JobRow, pack
from fulmarleverd.scheduling.specs import JobSpec, StepSpec, WorkerKey
from fulmarleverd.tests.scheduling.base import QUEUE, OwnerTestCase

WORKER = WorkerKey("w1", "7")
MAX_BYTES = 40
STEPS = (StepSpec(count=40), StepSpec(count=2, after=(0,)))


def new_job() -> Job:
    job = Job(JobRow(JobSpec("j", "payload", STEPS), QUEUE, 0.0))
    job.open_occurrence(0)
    return job


def start(job: Job, step: int, index: int, number: int = 0) -> None:
    task = job.occurrences[0][step].tasks[index]
    task.add_run(WORKER, number)
    task.step.refresh(task)


def end(job: Job, step: int, index: int) -> None:
    task = job.occurrences[0][step].tasks[index]
    task.runs.clear()
    task.step.complete(task)


def copy_left(job: Job) -> None:
    """One task is done while a copy of it still runs."""
    start(job, 0, 3)
    start(job, 0, 3)
    task = job.occurrences[0][0].tasks[3]
    del task.runs[1]
    task.step.complete(task)


def in_part(job: Job) -> None:
    for index in range(30):
        start(job, 0, index)
    for index in range(0, 30, 2):
        end(job, 0, index)
    job.occurrences[0][0].tasks[1].failures = 2
    job.occurrences[0][0].tasks[1].checkpoint = "00000bb87a21d94b"


def whole(job: Job) -> None:
    for step, spec in enumerate(STEPS):
        for index in range(spec.count):
            end(job, step, index)


def facts(job: Job) -> dict:
    """Return what a task's next run and the job's state depend on."""
    tasks = {
        task.name: (task.failures, task.last_run, task.checkpoint, list(task.runs))
        for task in job.tasks()
        if not task.is_done or task.runs
    }
    done = [task.name for task in job.tasks() if task.is_done]
    waiting = [list(step.waiting) for step in job.steps()]
    return {"state": job.state, "tasks": tasks, "done": done, "waiting": waiting}


# What has happened to the first task of an occurrence, by name.
OCCURRENCE_STATES = {
    "waiting": lambda task: None,
    "running": lambda task: task.add_run(WORKER),
    "failed": lambda task: fail(task),
    "done": lambda task: task.step.complete(task),
}


def fail(task: Task) -> None:
    task.add_run(WORKER)
    task.runs.clear()
    task.failures += 1


class RepeatedJobTests(OwnerTestCase):
    """The next owner is compared with one that keeps everything."""

    REPETITIONS = 5

    # Regression (LOST): what had not begun was left out below the number of
    # occurrences that had.
    @given(
        st.lists(
            st.sampled_from(sorted(OCCURRENCE_STATES)),
            min_size=REPETITIONS,
            max_size=REPETITIONS,
        )
    )
    def test_occurrences_are_as_the_last_owner_knew_them(self, states):
        self.setUp()
        spec = JobSpec("j", "payload", STEPS, self.REPETITIONS, 0.0, 1.0)
        row = JobRow(spec, QUEUE, 0.0)
        self.owner.open_jobs.add(row)
        job = self.owner.jobs.pop("j")
        for occurrence, state in enumerate(states):
            task = job.occurrences[occurrence][0].tasks[0]
            OCCURRENCE_STATES[state](task)
            task.step.refresh(task)
            job.has_begun |= state != "waiting"
        self.owner.open_jobs.add(row, StoredProgress(pack_progress(job)), is_new=False)
        self.assertEqual(facts(self.owner.jobs["j"]), facts(job))


class ProgressRowsTests(OwnerTestCase):
    ROWS = (
        ("nothing has begun", lambda job: None),
        ("one run", lambda job: start(job, 0, 5)),
        ("in part", in_part),
        ("a copy is left", copy_left),
        ("whole", whole),
    )

    def test_a_stored_job_is_restored(self):
        for _, advance in self.each(self.ROWS):
            job, restored = new_job(), new_job()
            advance(job)
            job.has_begun = True
            self.assertIsNone(restore_progress(restored, pack_progress(job)))
            self.assertEqual(facts(restored), facts(job))
            runs = {(r.task.name, r.number, r.worker_key) for r in restored.runs()}
            expected = {(r.task.name, r.number, r.worker_key) for r in job.runs()}
            self.assertEqual(runs, expected)

    # Regression: the progress of a large job outgrew its row, the store rejected each
    # commit with it, and nothing of any job was committed any more.
    def test_progress_that_no_row_holds_is_split(self):
        rows: dict[str, bytes] = {}
        for name, advance in self.each((*self.ROWS, ("smaller again", in_part))):
            job = new_job()
            advance(job)
            job.has_begun = name != "nothing has begun"
            job.progress_parts = sum("/part-" in key for key in rows)
            written = progress_rows(job, MAX_BYTES)
            self.assertLessEqual(max(len(row.value) for row in written), MAX_BYTES)
            rows.update((row.key, row.value) for row in written)
            rows = {key: value for key, value in rows.items() if value}
            self.assertEqual(
                unpack_state(rows["j"]), StoredState(job.state, job.has_begun, "")
            )
            stored, restored = join_progress("j", rows), new_job()
            self.assertEqual(stored.parts, job.progress_parts)
            self.assertEqual(stored.parts, sum("/part-" in key for key in rows))
            self.assertIsNone(restore_progress(restored, stored.value))
            self.assertEqual(restored.state, job.state)
            if not job.is_final:
                self.assertEqual(facts(restored), facts(job))

    def test_rows_of_the_earlier_format_are_read(self):
        row = pack(
            ["running", True, "", [["w1", "7"]], [[0, 0, 1, True, 0, 1, "", []]]]
        )
        job = new_job()
        self.assertIsNone(restore_progress(job, row))
        self.assertTrue(job.occurrences[0][0].tasks[1].is_done)

    def test_a_malformed_row_is_reported(self):
        rows = (
            ("empty", b""),
            ("broken compression", ZLIB_MARK + b"..."),
            ("unknown task", pack(["running", True, "", [], [], [[0, 0, [99]]]])),
        )
        for _, data in self.each(rows):
            self.assertTrue(failed(restore_progress(new_job(), data)))

    def test_the_state_is_read_from_small_and_large_rows(self):
        for name, advance in self.each(self.ROWS):
            job = new_job()
            advance(job)
            job.has_begun = name != "nothing has begun"
            self.assertEqual(
                unpack_state(pack_progress(job)),
                StoredState(job.state, job.has_begun, ""),
            )
        self.assertIs(job.state, JobState.COMPLETED)

    # Regression: the whole progress of a job was written with each end, which filled a
    # slow link.
    def test_a_done_task_takes_few_bytes(self):
        job = new_job()
        for index in range(40):
            start(job, 0, index)
            end(job, 0, index)
        self.assertLess(len(pack_progress(job)), 150)
