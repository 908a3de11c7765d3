"""Policies that choose the backend server of a request.

A policy chooses among the servers of one service on which this daemon has a free
slot. The simpler policies are naive baselines for differential tests.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Protocol

from fulmarlever.registry import Registry

ROUTING: Registry[type[RoutingPolicy]] = Registry("routing policy")


class ServerLoad(Protocol):
    """The load of one server.

    ``in_use`` of its ``limit`` slots are in use; ``latency_s`` is an average of recent
    latencies in seconds.
    """

    in_use: int
    limit: int
    latency_s: float


class RoutingPolicy(ABC):
    """Chooses one of the servers with a free slot."""

    __slots__ = ("rng",)

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    @abstractmethod
    def choose(self, servers: Sequence[ServerLoad]) -> ServerLoad:
        """Return one of the servers; ``servers`` must not be empty."""


def expected_time_s(server: ServerLoad) -> float:
    """Return an estimate, in seconds, of the time of one more request on a server."""
    return (server.in_use + 1) / server.limit * server.latency_s


@ROUTING.register("two-choices")
class TwoChoices(RoutingPolicy):
    """Chooses the better of two random servers, by requests in progress and latency."""

    __slots__ = ()

    def choose(self, servers: Sequence[ServerLoad]) -> ServerLoad:
        """Return the server with the shorter expected time of two random ones."""
        count = len(servers)
        if count == 1:
            return servers[0]
        first = int(self.rng.random() * count)
        second = int(self.rng.random() * (count - 1))
        if second >= first:
            second += 1
        return min(servers[first], servers[second], key=expected_time_s)


@ROUTING.register("least-loaded")
class LeastLoaded(RoutingPolicy):
    """Chooses the best of all servers, by requests in progress and latency."""

    __slots__ = ()

    def choose(self, servers: Sequence[ServerLoad]) -> ServerLoad:
        """Return the server with the shortest expected time."""
        return min(servers, key=expected_time_s)


@ROUTING.register("random")
class RandomChoice(RoutingPolicy):
    """Chooses a random server; a naive baseline."""

    __slots__ = ()

    def choose(self, servers: Sequence[ServerLoad]) -> ServerLoad:
        """Return a random server."""
        return self.rng.choice(servers)


@ROUTING.register("round-robin")
class RoundRobin(RoutingPolicy):
    """Chooses the servers in turn; a naive baseline."""

    __slots__ = ("_turn",)

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._turn = 0

    def choose(self, servers: Sequence[ServerLoad]) -> ServerLoad:
        """Return the next server in the order of the sequence."""
        self._turn += 1
        return servers[self._turn % len(servers)]
