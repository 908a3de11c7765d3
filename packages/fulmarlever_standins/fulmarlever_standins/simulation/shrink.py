"""Leaves out parts of a plan for as long as its play still violates an invariant."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from fulmarlever_standins.simulation.plan import Plan

MAX_PLAYS = 40


def shrink(
    plan: Plan, is_broken: Callable[[Plan], bool], max_plays: int = MAX_PLAYS
) -> Plan:
    """Return a smaller plan that is still broken, after at most ``max_plays`` plays.

    Halves of the jobs and of the faults are left out first, then smaller parts.
    """
    plays = 0
    size = max(len(plan.jobs), len(plan.faults)) // 2
    while size and plays < max_plays:
        for smaller in _without_parts(plan, size):
            plays += 1
            if is_broken(smaller):
                plan = smaller
                break
            if plays >= max_plays:
                return plan
        else:
            size //= 2
    return plan


def _without_parts(plan: Plan, size: int) -> Iterator[Plan]:
    """Yield the plans that lack ``size`` neighbouring jobs or faults."""
    for first in range(0, len(plan.jobs), size):
        yield plan.without_jobs(first, size)
    for first in range(0, len(plan.faults), size):
        yield plan.without_faults(first, size)
