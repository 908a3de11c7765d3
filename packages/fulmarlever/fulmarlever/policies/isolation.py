"""Policies for running tasks of a zone whose placer cannot reach the table."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from fulmarlever.registry import Registry
from fulmarlever.structure.configuration import IsolationRule

STOP_AFTER_S = 3.0
"""How long a placer without a valid lease waits before it stops what may move."""


class IsolationStep(StrEnum):
    """What a placer does with a running task."""

    RENEW = "renew"
    STOP = "stop"


class Isolation(Protocol):
    """Decides about one running task."""

    def __call__(
        self, rule: IsolationRule, is_service: bool, lapsed_s: float
    ) -> IsolationStep:
        """Return the step; ``lapsed_s`` is how long the placer's lease is over."""


ISOLATIONS: Registry[Isolation] = Registry("isolation policy")


@ISOLATIONS.register("ignore")
def ignore_isolation(
    rule: IsolationRule, is_service: bool, lapsed_s: float
) -> IsolationStep:
    """Renew everything for ever; the naive version."""
    return IsolationStep.RENEW


@ISOLATIONS.register("declared")
def follow_rule(
    rule: IsolationRule, is_service: bool, lapsed_s: float
) -> IsolationStep:
    """Keep services and what is declared ``keep``; stop the rest with a checkpoint.

    Leases of what may move are not renewed from the moment the lease is over; the
    stop saves what was done since the last checkpoint.
    """
    if is_service or rule is IsolationRule.KEEP or lapsed_s <= 0:
        return IsolationStep.RENEW
    return IsolationStep.STOP
