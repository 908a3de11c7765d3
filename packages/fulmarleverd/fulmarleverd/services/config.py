"""The service ``config``: the configuration in force on this daemon."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from loguru import logger as log
from prometheus_client import Counter, Gauge
from reactivex.subject import BehaviorSubject

from fulmarlever.config.reader import MAX_TEXT_BYTES, parse_configuration
from fulmarlever.findings import Findings
from fulmarlever.outcomes import (
    Conflict,
    Failure,
    OutcomeUnknown,
    Refused,
    Unavailable,
    failed,
)
from fulmarlever.structure.configuration import Configuration
from fulmarleverd.generations.accepted import AcceptedGeneration
from fulmarleverd.generations.drains import WORKER_ROLE, drain_change
from fulmarleverd.generations.exchange import GenerationExchange
from fulmarleverd.generations.store import GenerationStore
from fulmarleverd.kernel import SERVICES, Kernel, Service

POLL_JITTER = 0.2
UNREADABLE_RETRY_S = 30.0
"""Time after which a generation that could not be parsed is fetched again."""

MAX_APPLY_ID_LENGTH = 100

GENERATION = Gauge(
    "fulmarlever_config_generation", "Generation of the configuration in force."
)
READ_FAILURES = Counter(
    "fulmarlever_config_read_failures",
    "Polls that failed and generations that could not be parsed.",
)


@SERVICES.register("config")
class ConfigService(Service):
    """Keeps the newest accepted generation of the configuration in force.

    Each accepted change of the configuration has a generation number. ``in_force``
    emits the current configuration on subscription, then each newer one. ``drained``
    does the same for the names of the workers that operators drain. ``is_loaded`` is
    true once the newest generation that could be found is in force.
    """

    name = "config"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.in_force: BehaviorSubject[Configuration] = BehaviorSubject(Configuration())
        self.drained: BehaviorSubject[frozenset[str]] = BehaviorSubject(frozenset())
        self.is_loaded = False
        self._is_table_read = False
        self._unreadable_generation = 0
        self._unreadable_until = 0.0
        self._accepted: AcceptedGeneration | None = None
        self._store: GenerationStore | None = None
        self._exchange: GenerationExchange | None = None

    async def start(self) -> None:
        """Read the configuration once and start to poll it."""
        self._store = GenerationStore(self.kernel.find("platform"), self.clock)
        self._exchange = GenerationExchange(self.kernel.find("membership"))
        await self.refresh()
        self.spawn(self._poll(self._refresh_from_table), "configuration poll")
        self.spawn(self._poll(self._refresh_from_peers), "configuration of peers")

    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self.in_force.value

    def accepted(self) -> AcceptedGeneration | None:
        """Return the generation in force with its text, or ``None`` without one."""
        return self._accepted

    async def apply(
        self, text: str, expected: int | None, apply_id: str
    ) -> int | Findings | Conflict | Refused | Unavailable | OutcomeUnknown:
        """Make a text the next generation and return its number.

        ``expected`` is the generation on which the operator's change is based; with
        ``None`` it is not checked. An ``apply_id`` that has taken effect before returns
        the number of that generation again. Return ``Findings`` for an invalid text and
        ``Conflict`` when another generation is in force than expected.
        """
        invalid = _validate(text, apply_id)
        if invalid is not None:
            return invalid
        cfg = await asyncio.to_thread(parse_configuration, text, "configuration")
        if isinstance(cfg, Findings):
            return cfg
        known = self.current().generation
        result = await self._store.apply(
            text, list(cfg.jobs), expected, apply_id, known
        )
        if not isinstance(result, AcceptedGeneration):
            return result
        await self.activate(result)
        return result.generation

    async def drain_worker(
        self, worker: str, operator: str, is_draining: bool
    ) -> bool | Refused | Unavailable | OutcomeUnknown:
        """Drain a worker VM, or end its drain; a repeated call changes nothing.

        Return ``Refused`` for a VM that is not listed or not a worker.
        """
        vms = self.kernel.find("platform").vms()
        if is_draining and worker not in vms:
            return Refused(f"the VM list has no VM {worker!r}")
        if is_draining and vms[worker].role != WORKER_ROLE:
            return Refused(f"{worker!r} is not a worker")
        change = drain_change(worker, operator, self.clock.wall(), is_draining)
        result = await self.kernel.find("platform").write(change)
        if failed(result):
            return result
        event = "drain.begun" if is_draining else "drain.undone"
        self.kernel.find("timeline").record(event, worker=worker, detail=operator)
        await self.refresh()
        return True

    async def refresh(self) -> None:
        """Fetch a newer generation from the table, or from a peer if that fails."""
        await self._refresh_from_table()
        await self._refresh_from_peers()

    async def _refresh_from_peers(self) -> None:
        # With the table up, the daemon that accepted a generation would otherwise
        # send its text to all others.
        if self._is_table_read:
            return
        newer = await self._exchange.fetch_newer(self._newest_known())
        if newer is not None:
            await self.activate(newer)

    async def _refresh_from_table(self) -> None:
        polled = await self._store.poll(self._newest_known())
        self._is_table_read = not failed(polled)
        if failed(polled):
            READ_FAILURES.inc()
            return
        if polled.drained != self.drained.value:
            self.drained.on_next(polled.drained)
        if polled.newer is not None:
            await self.activate(polled.newer)
        elif self._newest_known() == self.current().generation:
            self.is_loaded = True

    async def activate(self, accepted: AcceptedGeneration) -> bool:
        """Put a generation in force if it is newer than the one in force.

        Return false, and change nothing, if it is not newer or cannot be parsed.
        """
        if accepted.generation <= self.current().generation:
            return False
        cfg = await asyncio.to_thread(accepted.to_configuration)
        if failed(cfg):
            self._mark_unreadable(accepted.generation, cfg)
            return False
        # Another generation may have been put in force during the parsing.
        if cfg.generation <= self.current().generation:
            return False
        self._activate(cfg, accepted)
        return True

    def _newest_known(self) -> int:
        """Return the generation above which a newer one should be fetched."""
        if self.clock.monotonic() < self._unreadable_until:
            return max(self._unreadable_generation, self.current().generation)
        return self.current().generation

    def _mark_unreadable(self, generation: int, failure: Failure) -> None:
        # Fetching and parsing it again with every poll would take a sixth of a core.
        self._unreadable_generation = generation
        self._unreadable_until = self.clock.monotonic() + UNREADABLE_RETRY_S
        READ_FAILURES.inc()
        log.error("generation {} cannot be parsed: {}", generation, failure.reason)

    def _activate(self, cfg: Configuration, accepted: AcceptedGeneration) -> None:
        self._accepted = accepted
        self.is_loaded = True
        self._exchange.publish(accepted)
        GENERATION.set(cfg.generation)
        detail = f"generation {cfg.generation} digest {cfg.digest[:12]}"
        self.kernel.find("timeline").record("config.in-force", detail=detail)
        log.info("configuration in force: {}", detail)
        try:
            self.in_force.on_next(cfg)
        except Exception:
            # The generation stays in force; only the subscriber that raised failed.
            log.exception("a subscriber failed to handle generation {}", cfg.generation)

    async def _poll(self, refresh: Callable[[], Awaitable[None]]) -> None:
        period = self.settings.config_poll_s
        while True:
            # Jitter spreads the reads of many daemons over the period.
            await asyncio.sleep(
                period * random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
            )
            try:
                await refresh()
            except Exception:
                # A malformed row or an exception of a subscriber must not end polling.
                log.exception("failed to refresh the configuration")


def _validate(text: str, apply_id: str) -> Refused | None:
    if len(text.encode()) > MAX_TEXT_BYTES:
        return Refused(f"the file is larger than {MAX_TEXT_BYTES} bytes")
    if not 0 < len(apply_id) <= MAX_APPLY_ID_LENGTH:
        return Refused(f"the apply id must have 1 to {MAX_APPLY_ID_LENGTH} characters")
    return None
