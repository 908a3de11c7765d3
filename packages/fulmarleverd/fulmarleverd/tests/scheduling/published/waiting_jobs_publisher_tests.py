"""When an owner publishes how many jobs wait, and as of when."""

from __future__ import annotations

from fulmarleverd.scheduling.persistence.feeds import Batch
from fulmarleverd.scheduling.persistence.rows import SUMMARY_KEY
from fulmarleverd.scheduling.published.publication import Publication
from fulmarleverd.scheduling.published.waiting_jobs import WaitingJobs
from fulmarleverd.scheduling.published.waiting_jobs_publisher import (
    PERIOD_S,
    WaitingJobsPublisher,
)
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import QUEUE, OwnerTestCase

STEP = StepSpec(count=2, cpu_m=1000, memory_mb=100, estimate_s=1.0)
SNAPSHOT = Batch((), True, 0.0, 40)


class PublisherTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.publisher = WaitingJobsPublisher(self.owner)

    def published(self) -> tuple[Publication, WaitingJobs] | None:
        rows = list(self.publisher.rows())
        if not rows:
            return None
        (row,) = rows
        self.assertEqual(row.key, SUMMARY_KEY)
        publication = Publication.from_row(row)
        return publication, WaitingJobs.unpack(publication.value)

    def test_jobs_count_until_one_of_their_tasks_has_begun(self):
        for number in range(3):
            self.add_job(f"j{number}", STEP)
        self.publisher.record(Batch((), False, 0.0, 41, 12.5))
        begun = self.start(self.owner.jobs["j1"], self.workers[0])
        self.owner.record_begin(begun)
        # A decision to start a run is no begin.
        self.owner.assign(
            self.owner.jobs["j2"].occurrences[0][0].tasks[0], self.workers[1]
        )
        publication, waiting = self.published()
        self.assertEqual(waiting, WaitingJobs({QUEUE.name: 2}, 41))
        origin = (publication.vm, publication.term, publication.as_of_s)
        self.assertEqual(origin, ("vm-1", 1, 12.5))

    def test_nothing_is_published_while_a_snapshot_may_hold_later_jobs(self):
        self.assertIsNone(self.published())
        self.publisher.record(SNAPSHOT)
        self.assertIsNone(self.published())
        self.publisher.record(Batch((), False, 0.0, 41, 12.5))
        self.assertIsNotNone(self.published())
        self.clock.advance(PERIOD_S)
        self.publisher.record(SNAPSHOT)
        self.assertIsNone(self.published())

    def test_the_number_is_as_of_the_last_answer(self):
        # Load: the owner's calls for changes get no answers; its commits do.
        self.publisher.record(Batch((), False, 0.0, 41, 12.5))
        for _ in range(5):
            publication, waiting = self.published()
            self.assertEqual((publication.as_of_s, waiting.jobs_version), (12.5, 41))
            self.assertIsNone(self.published())
            self.clock.advance(1.01 * PERIOD_S)
