"""Policies for the running tasks of a zone whose placer cannot reach the table."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from fulmarlever.registry import Registry
from fulmarlever.structure.configuration import IsolationRule

STOP_AFTER_S = 3.0
"""The time from the expiry of a placer's lease until it stops tasks that may move."""


class IsolationAction(StrEnum):
    """What a placer does with a running task: renew its lease or stop it."""

    RENEW = "renew"
    STOP = "stop"


class Isolation(Protocol):
    """Chooses the action for one running task."""

    def __call__(
        self, rule: IsolationRule, is_service: bool, expired_for_s: float
    ) -> IsolationAction:
        """Return the action for a task with an isolation rule.

        ``expired_for_s`` is the time in seconds since the placer's own lease expired;
        it is negative or 0 while the lease is valid.
        """


ISOLATIONS: Registry[Isolation] = Registry("isolation policy")


@ISOLATIONS.register("ignore")
def ignore_isolation(
    rule: IsolationRule, is_service: bool, expired_for_s: float
) -> IsolationAction:
    """Renew all leases indefinitely; the naive baseline."""
    return IsolationAction.RENEW


@ISOLATIONS.register("declared")
def follow_rule(
    rule: IsolationRule, is_service: bool, expired_for_s: float
) -> IsolationAction:
    """Keep services and jobs declared ``keep``; stop the others with a checkpoint.

    The task leases of the others are not renewed once the placer's lease has expired.
    They are stopped, too, so that the work since their last checkpoint is not lost.
    """
    if is_service or rule is IsolationRule.KEEP or expired_for_s <= 0:
        return IsolationAction.RENEW
    return IsolationAction.STOP
