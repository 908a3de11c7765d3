"""Stores the learned run times for the next owner, and shows them to operators."""

from __future__ import annotations

from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.metrics import RUN_TIME_RATIO, RUN_TIME_SECONDS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.persistence.rows import (
    RUN_TIMES_KEY,
    SUMMARY_TABLE,
    pack_run_times,
)
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.run_times.learned_times import LearnedTimes

PERIOD_S = 4.0
LOG_PERIOD_S = 20.0
# The row may take this part of the largest row of the store.
ROW_SHARE = 4
# The quantile that shows how long the longest runs take.
TAIL_SHARE = 0.97


class RunTimesPublisher:
    """Writes the row, the metrics and the log lines of the learned run times.

    ``row_bytes`` is the largest row of the store.
    """

    def __init__(self, owner: Owner, row_bytes: int) -> None:
        self._owner = owner
        self._max_bytes = row_bytes // ROW_SHARE
        self._stored: list = owner.run_times.to_data()
        self._stored_at_s = self._logged_at_s = owner.now_s()
        # Samples by queue and number of the step when they were logged.
        self._logged_samples: dict[tuple[str, int], int] = {}
        self._labels: set[tuple[str, str]] = set()

    def tick(self) -> None:
        """Do what is due now."""
        now = self._owner.now_s()
        if now - self._stored_at_s >= PERIOD_S:
            self._stored_at_s = now
            self._store()
            self._set_metrics()
        if now - self._logged_at_s >= LOG_PERIOD_S:
            self._logged_at_s = now
            self._log()

    def _store(self) -> None:
        data = self._owner.run_times.to_data()
        if data != self._stored:
            self._stored = data
            value = pack_run_times(data, self._max_bytes)
            row = StoredRow(SUMMARY_TABLE, RUN_TIMES_KEY, value)
            self._owner.commits.stage_row(row)

    def _set_metrics(self) -> None:
        labels: set[tuple[str, str]] = set()
        for queue, number, learned in self._owner.run_times.entries():
            labels.add(item := (queue, str(number)))
            RUN_TIME_RATIO.labels(*item).set(learned.median_ratio)
            RUN_TIME_SECONDS.labels("declared", *item).set(learned.declared_s)
            RUN_TIME_SECONDS.labels("median", *item).set(learned.median_s)
        # Queues that made way for others would add labels without bound.
        for item in self._labels - labels:
            RUN_TIME_RATIO.remove(*item)
            RUN_TIME_SECONDS.remove("declared", *item)
            RUN_TIME_SECONDS.remove("median", *item)
        self._labels = labels

    def _log(self) -> None:
        """Log the entries that have new samples."""
        samples: dict[tuple[str, int], int] = {}
        for queue, number, learned in self._owner.run_times.entries():
            samples[queue, number] = learned.samples
            if self._logged_samples.get((queue, number)) != learned.samples:
                applies_learned = self._owner.run_times.applies_learned
                _log_entry(queue, number, learned, applies_learned)
        self._logged_samples = samples


def _log_entry(
    queue: str, number: int, learned: LearnedTimes, applies_learned: bool
) -> None:
    record(
        "run-times",
        "declared times are used"
        if learned.uses_declared or not applies_learned
        else "learned times are used",
        queue=queue,
        step=number,
        runs=learned.samples,
        declared_s=round(learned.declared_s, 3),
        median_s=round(learned.median_s, 3),
        median_ratio=round(learned.median_ratio, 2),
        tail_factor=round(learned.tail_factor(TAIL_SHARE), 2),
        right_share=round(learned.right_share, 2),
        scaled_error=round(learned.scaled_error, 2),
        median_error=round(learned.median_error, 2),
        own_error=round(learned.own_error, 2),
    )
