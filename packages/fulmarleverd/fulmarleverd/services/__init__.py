"""The services that the kernel runs; each module registers the ones it defines."""

from __future__ import annotations

from collections.abc import Iterable
from importlib import import_module

# The order of the start. Membership comes first of those that listen and so stops
# last: a refused connection on the peers' port proves that the daemon has ended.
SERVICE_ORDER = (
    "timeline",
    "platform",
    "membership",
    "config",
    "workers",
    "placer",
    "jobs",
    "slots",
    "claims",
    "admission",
    "router",
    "callers",
    "admin",
)

# The daemon as a scheduler of jobs on a platform of the registry of interfaces. The
# ingress comes last and so drains first; the scheduler drains before the clients close.
SCHEDULING_ORDER = ("queues", "scheduler", "metrics", "ingress")


def load_services(names: Iterable[str] = SERVICE_ORDER) -> None:
    """Import the modules of services so that they register themselves."""
    for name in names:
        import_module(f"fulmarleverd.services.{name}")
