"""The services that the kernel runs; each module registers the ones it defines."""

from __future__ import annotations

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


def load_services() -> None:
    """Import the module of every service so that it registers itself."""
    for name in SERVICE_ORDER:
        import_module(f"fulmarleverd.services.{name}")
