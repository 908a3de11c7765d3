"""The row, the log lines and the metrics of the learned run times."""

from __future__ import annotations

from loguru import logger as log
from prometheus_client import REGISTRY

from fulmarleverd.scheduling.persistence.rows import (
    RUN_TIMES_KEY,
    SUMMARY_TABLE,
    unpack_run_times,
)
from fulmarleverd.scheduling.run_times import RunTimes
from fulmarleverd.scheduling.run_times.publisher import (
    LOG_PERIOD_S,
    PERIOD_S,
    ROW_SHARE,
    RunTimesPublisher,
)
from fulmarleverd.scheduling.run_times.run_times import MAX_QUEUES
from fulmarleverd.scheduling.specs import QueueSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase
from fulmarleverd.tests.scheduling.run_times.loads import make_step

ROW_BYTES = 65536


class RunTimesPublisherTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.rows = []
        self.lines = []
        self.commits.stage_row = self.rows.append
        log.add(lambda message: self.lines.append(message.record["extra"]))
        self.publisher = RunTimesPublisher(self.owner, ROW_BYTES)

    def record(self, queue: str, seconds: float, count: int = 1) -> None:
        spec = QueueSpec(queue, "h", "/", "desk")
        for _ in range(count):
            self.owner.run_times.record_end(make_step(1.0, spec), seconds)

    def tick_after(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.publisher.tick()

    def run_time_lines(self) -> list[dict]:
        return [line for line in self.lines if line.get("event") == "run-times"]

    # Guards against writes without a change, which take the store's time.
    def test_the_row_is_written_periodically_if_it_changed(self):
        self.tick_after(PERIOD_S)
        self.assertEqual(self.rows, [])
        self.record("plans", 4.0, 30)
        self.tick_after(PERIOD_S / 2.0)
        self.assertEqual(self.rows, [])
        self.tick_after(PERIOD_S)
        self.tick_after(PERIOD_S)
        (row,) = self.rows
        self.assertEqual((row.table, row.key), (SUMMARY_TABLE, RUN_TIMES_KEY))
        self.assertLessEqual(len(row.value), ROW_BYTES // ROW_SHARE)
        other = RunTimes()
        self.assertIsNone(other.load_data(unpack_run_times(row)))
        step = make_step(1.0, QueueSpec("plans", "h", "/", "desk"))
        expected_s = self.owner.run_times.expected_s(step)
        self.assertEqual(other.expected_s(step), expected_s)

    # Guards against learned times that no operator can compare with declared ones.
    def test_declared_and_learned_times_are_logged(self):
        self.record("plans", 4.0, 30)
        self.record("labels", 1.1, 30)
        self.tick_after(LOG_PERIOD_S)
        by_queue = {line["queue"]: line for line in self.run_time_lines()}
        self.assertEqual(set(by_queue), {"plans", "labels"})
        plans = by_queue["plans"]
        self.assertEqual((plans["step"], plans["runs"]), (0, 30))
        self.assertEqual((plans["declared_s"], plans["right_share"]), (1.0, 0.0))
        self.assertAlmostEqual(plans["median_s"], 4.0, delta=0.2)
        self.assertAlmostEqual(plans["median_ratio"], 4.0, delta=0.2)
        self.assertEqual(by_queue["labels"]["right_share"], 1.0)
        self.record("labels", 1.1)
        self.tick_after(LOG_PERIOD_S)
        self.assertEqual(len(self.run_time_lines()), 3)

    # Guards against a log that claims learned times where they are switched off.
    def test_log_tells_which_times_are_used(self):
        messages = []
        log.add(lambda message: messages.append(message.record["message"]))
        for applies, used in ((True, "learned"), (False, "declared")):
            self.owner.run_times.applies_learned = applies
            self.record("plans", 4.0, 30)
            self.tick_after(LOG_PERIOD_S)
            self.assertEqual(messages[-1], f"{used} times are used")

    # Guards against metrics that grow with each queue that there ever was.
    def test_metrics_have_a_bounded_set_of_labels(self):
        for number in range(3 * MAX_QUEUES):
            self.record(f"queue-{number}", 2.0)
            self.tick_after(PERIOD_S)
        last = f"queue-{3 * MAX_QUEUES - 1}"
        value = REGISTRY.get_sample_value(
            "fulmarlever_run_time_seconds",
            {"source": "declared", "queue": last, "step": "0"},
        )
        self.assertEqual(value, 1.0)
        queues = {
            sample.labels["queue"]
            for metric in REGISTRY.collect()
            if metric.name == "fulmarlever_run_time_ratio"
            for sample in metric.samples
            if sample.labels["queue"].startswith("queue-")
        }
        self.assertEqual(len(queues), MAX_QUEUES)
