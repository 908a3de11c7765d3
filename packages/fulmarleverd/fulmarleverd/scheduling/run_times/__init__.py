"""Run times of tasks, learned from the runs themselves.

The time that a caller declares for a step is a prior. Names ending in ``_s`` are
seconds on a worker of normal speed.
"""

from fulmarleverd.scheduling.run_times.run_times import RunTimes

__all__ = ["RunTimes"]
