"""The services that the kernel runs; each module registers the ones it defines."""

from __future__ import annotations

from collections.abc import Iterable
from importlib import import_module

# The start order. Membership is the first service that listens and therefore stops
# last: a refused connection on the peer port proves that the daemon has ended.
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

# The start order of the daemon when it schedules jobs on a platform that is found in
# the registry of interfaces. Ingress starts last and therefore drains first; the
# scheduler drains before the platform's clients close.
SCHEDULING_ORDER = ("queues", "scheduler", "metrics", "ingress")


def load_services(names: Iterable[str] = SERVICE_ORDER) -> None:
    """Import the modules of the named services, which registers the services."""
    for name in names:
        import_module(f"fulmarleverd.services.{name}")
