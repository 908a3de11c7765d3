"""Estimates of run times by queue and number of the step."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

from fulmarlever.outcomes import Failure
from fulmarleverd.scheduling.jobs.tasks import Job, Step
from fulmarleverd.scheduling.run_times.learned_times import LearnedTimes
from fulmarleverd.scheduling.run_times.new_job_times import (
    NewJobTimes,
    step_work_core_s,
)
from fulmarleverd.scheduling.run_times.step_samples import StepSamples
from fulmarleverd.scheduling.specs import StepSpec

# Queues and steps beyond these limits take their declared times.
MAX_QUEUES = 32
MAX_STEPS = 8
# Times are counted in milliseconds; runs that seem shorter than one are left out.
MIN_RECORDED_S = 0.001
# The format of the stored data.
DATA_VERSION = 1
# The usual seconds and the number of runs of a step without runs.
NO_RUNS = (0.0, 0)
# What was learned of the steps of a queue without samples, by number of the step.
NO_LEARNED_TIMES: dict[int, LearnedTimes] = {}


class BadRunTimes(Failure):
    """Stored run times cannot be used."""

    __slots__ = ()


class RunTimes(NewJobTimes):
    """The expected run times of tasks, from declared times and from ended runs.

    Without ``applies_learned``, what the runs show is recorded, but the declared times
    are expected.
    """

    __slots__ = ("applies_learned", "_queues")

    def __init__(self) -> None:
        self.applies_learned = True
        # By queue, the one with the latest sample last, then by number of the step.
        self._queues: OrderedDict[str, dict[int, LearnedTimes]] = OrderedDict()

    # Estimates

    def expected_s(self, step: Step) -> float:
        """Return the expected seconds of one task of a step, 0 if nothing is known."""
        return _expected_s(self._find(step.job.queue.name, step.number), step)

    def quantile_s(self, step: Step, share: float) -> float:
        """Return the seconds within which a share of the tasks of a step end."""
        learned = self._find(step.job.queue.name, step.number)
        factor = learned.tail_factor(share) if learned is not None else 1.0
        return self.expected_s(step) * factor

    def expected_step_s(self, queue_name: str, number: int, spec: StepSpec) -> float:
        """Return the expected seconds of one task, without the step's own runs."""
        learned = self._find(queue_name, number)
        if learned is None or (spec.estimate_s and learned.uses_declared):
            return spec.estimate_s
        return learned.expected_s(spec.estimate_s, NO_RUNS)

    def whole_path_s(self, job: Job) -> float:
        """Return the expected seconds of an open job's longest chain of steps.

        Unlike ``critical_path_s``, it uses what the job's own runs have shown.
        """
        path_s = self._longest_path_s(job, includes_done=True)
        return path_s or self.critical_path_s(job.spec, job.queue)

    def remaining_s(self, job: Job) -> float:
        """Return the expected seconds of the longest chain of steps not yet done.

        Only occurrences that exist so far are considered.
        """
        return self._longest_path_s(job, includes_done=False)

    def _longest_path_s(self, job: Job, *, includes_done: bool) -> float:
        # Called for each open job in each plan, so it avoids calls where it can.
        learned = self._applied(job.queue.name)
        longest = 0.0
        for steps in job.occurrences.values():
            ends: list[float] = []
            for step in steps:
                after = step.spec.after
                end_s = max([ends[number] for number in after]) if after else 0.0
                if includes_done or step.unfinished_tasks:
                    end_s += _expected_s(learned.get(step.number), step)
                ends.append(end_s)
                longest = max(longest, end_s)
        return longest

    def remaining_work_core_s(self, job: Job) -> float:
        """Return the expected core-seconds of the tasks that are not done."""
        learned = self._applied(job.queue.name)
        total = 0.0
        for steps in job.occurrences.values():
            for step in steps:
                if step.unfinished_tasks:
                    seconds = _expected_s(learned.get(step.number), step)
                    total += step_work_core_s(step.spec, step.unfinished_tasks, seconds)
        return total

    # Samples

    def record_end(self, step: Step, seconds: float) -> None:
        """Record one whole run that ended as done.

        ``seconds`` is its time at work on a worker of normal speed, without pauses and
        speed limits.
        """
        if not MIN_RECORDED_S <= seconds < math.inf:
            return
        samples = samples_of(step)
        if step.number < MAX_STEPS:
            learned = self._find_or_add(step.job.queue.name, step.number)
            learned.record(step.spec.estimate_s, seconds, samples.estimate())
        samples.record_end(seconds)

    def _find(self, queue_name: str, number: int) -> LearnedTimes | None:
        return self._applied(queue_name).get(number)

    def _applied(self, queue_name: str) -> dict[int, LearnedTimes]:
        """Return what estimates of a queue's steps use, by number of the step."""
        if not self.applies_learned:
            return NO_LEARNED_TIMES
        return self._queues.get(queue_name, NO_LEARNED_TIMES)

    def _find_or_add(self, queue_name: str, number: int) -> LearnedTimes:
        """Return the state of a queue's step; the queue longest unused makes way."""
        if queue_name not in self._queues:
            if len(self._queues) >= MAX_QUEUES:
                self._queues.popitem(last=False)
            self._queues[queue_name] = {}
        self._queues.move_to_end(queue_name)
        steps = self._queues[queue_name]
        if number not in steps:
            steps[number] = LearnedTimes()
        return steps[number]

    def entries(self) -> Iterator[tuple[str, int, LearnedTimes]]:
        """Yield each queue's name, number of the step and what was learned of it."""
        for name, steps in self._queues.items():
            for number, learned in steps.items():
                yield name, number, learned

    # Storage

    def to_data(self) -> list:
        """Return what was learned as plain data, bounded by the number of entries.

        The entries with most runs come first.
        """
        ordered = sorted(self.entries(), key=lambda entry: -entry[2].samples)
        return [
            DATA_VERSION,
            [[name, number, *learned.to_data()] for name, number, learned in ordered],
        ]

    def load_data(self, data: list) -> BadRunTimes | None:
        """Use what an earlier owner learned; malformed data changes nothing.

        Entries that already have samples stay.
        """
        try:
            version, rows = data
            if version != DATA_VERSION:
                return BadRunTimes(f"learned run times: version {version!r}")
            entries = [
                (str(name), int(number), LearnedTimes.from_data(rest))
                for name, number, *rest in rows[: MAX_QUEUES * MAX_STEPS]
            ]
        except (ValueError, TypeError, LookupError, OverflowError) as exc:
            return BadRunTimes(f"learned run times: {type(exc).__name__}: {exc}")
        for name, number, learned in reversed(entries):
            is_known = name in self._queues or len(self._queues) < MAX_QUEUES
            if is_known and 0 <= number < MAX_STEPS:
                self._queues.setdefault(name, {}).setdefault(number, learned)
        return None


def samples_of(step: Step) -> StepSamples:
    """Return the samples of a step, created by the first call."""
    if step.samples is None:
        step.samples = StepSamples()
    return step.samples


def _expected_s(learned: LearnedTimes | None, step: Step) -> float:
    """Return the expected seconds of one task of a step, 0 if nothing is known."""
    declared_s = step.spec.estimate_s
    if declared_s and (learned is None or learned.uses_declared):
        return declared_s
    samples = step.samples
    if learned is None:
        return samples.estimate()[0] if samples else 0.0
    if samples is None:
        return learned.expected_s(declared_s, NO_RUNS)
    state = (learned.version, samples.ended_runs, samples.progress_s)
    if samples.cached[:3] != state:
        expected_s = learned.expected_s(declared_s, samples.estimate())
        samples.cached = (*state, expected_s)
    return samples.cached[3]
