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
UNREADABLE_PAUSE_S = 30.0
"""The time after which a generation that could not be read is fetched again."""

MAX_APPLY_ID_LENGTH = 100

GENERATION = Gauge(
    "fulmarlever_config_generation", "Generation of the configuration in force."
)
READ_FAILURES = Counter(
    "fulmarlever_config_read_failures", "Polls of the configuration that failed."
)


@SERVICES.register("config")
class ConfigService(Service):
    """Keeps the newest accepted generation that this daemon has seen.

    ``in_force`` emits the present configuration on subscription and each newer one;
    ``drained`` likewise the names of the workers that operators drain. ``is_loaded``
    tells whether the newest generation that could be found is in force.
    """

    name = "config"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.in_force: BehaviorSubject[Configuration] = BehaviorSubject(Configuration())
        self.drained: BehaviorSubject[frozenset[str]] = BehaviorSubject(frozenset())
        self.is_loaded = False
        self._is_table_read = False
        self._unreadable = 0
        self._unreadable_until_s = 0.0
        self._accepted: AcceptedGeneration | None = None
        self._store: GenerationStore | None = None
        self._exchange: GenerationExchange | None = None

    async def start(self) -> None:
        """Read the configuration once and keep polling it."""
        self._store = GenerationStore(self.kernel.find("platform"), self.clock)
        self._exchange = GenerationExchange(self.kernel.find("membership"))
        await self.refresh()
        self.spawn(self._repeat(self._refresh_from_table), "configuration poll")
        self.spawn(self._repeat(self._refresh_from_peers), "configuration of peers")

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

        ``expected`` is the generation that the operator's change is based on. An
        apply with an id that took effect before returns the earlier number.
        """
        refusal = _refuse(text, apply_id)
        if refusal is not None:
            return refusal
        cfg = await asyncio.to_thread(parse_configuration, text, "configuration")
        if isinstance(cfg, Findings):
            return cfg
        known = self.current().generation
        result = await self._store.apply(
            text, list(cfg.jobs), expected, apply_id, known
        )
        if not isinstance(result, AcceptedGeneration):
            return result
        await self.adopt(result)
        return result.generation

    async def drain_worker(
        self, worker: str, operator: str, is_draining: bool
    ) -> bool | Refused | Unavailable | OutcomeUnknown:
        """Drain a worker VM, or end its drain; repeating it changes nothing."""
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
        """Take a newer generation from the table, or from a peer without the table."""
        await self._refresh_from_table()
        await self._refresh_from_peers()

    async def _refresh_from_peers(self) -> None:
        # With the table up, the daemon that accepted a generation would otherwise
        # send its text to all others.
        if self._is_table_read:
            return
        newer = await self._exchange.fetch_newer(self._known())
        if newer is not None:
            await self.adopt(newer)

    async def _refresh_from_table(self) -> None:
        polled = await self._store.poll(self._known())
        self._is_table_read = not failed(polled)
        if failed(polled):
            READ_FAILURES.inc()
            return
        if polled.drained != self.drained.value:
            self.drained.on_next(polled.drained)
        if polled.newer is not None:
            await self.adopt(polled.newer)
        elif self._known() == self.current().generation:
            self.is_loaded = True

    async def adopt(self, accepted: AcceptedGeneration) -> bool:
        """Bring a generation into force unless one as new is; return whether it is."""
        if accepted.generation <= self.current().generation:
            return False
        cfg = await asyncio.to_thread(accepted.to_configuration)
        if failed(cfg):
            self._note_unreadable(accepted.generation, cfg)
            return False
        # Another generation may have arrived during the parsing.
        if cfg.generation <= self.current().generation:
            return False
        self._bring_into_force(cfg, accepted)
        return True

    def _known(self) -> int:
        """Return the generation above which a newer one is worth fetching."""
        if self.clock.monotonic() < self._unreadable_until_s:
            return max(self._unreadable, self.current().generation)
        return self.current().generation

    def _note_unreadable(self, generation: int, failure: Failure) -> None:
        # Fetching and reading it again with every poll would cost a sixth of a core.
        self._unreadable = generation
        self._unreadable_until_s = self.clock.monotonic() + UNREADABLE_PAUSE_S
        READ_FAILURES.inc()
        log.error("generation {} cannot be read: {}", generation, failure.reason)

    def _bring_into_force(
        self, cfg: Configuration, accepted: AcceptedGeneration
    ) -> None:
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
            # The generation is in force; a fault of one subscriber is its own.
            log.exception("a subscriber failed on generation {}", cfg.generation)

    async def _repeat(self, refresh: Callable[[], Awaitable[None]]) -> None:
        period = self.settings.config_poll_s
        while True:
            # Jitter spreads the reads of many daemons over the period.
            await asyncio.sleep(
                period * random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
            )
            try:
                await refresh()
            except Exception:
                # A malformed row or a fault of a subscriber must not end the polling.
                log.exception("the configuration could not be refreshed")


def _refuse(text: str, apply_id: str) -> Refused | None:
    if len(text.encode()) > MAX_TEXT_BYTES:
        return Refused(f"the file is over {MAX_TEXT_BYTES} bytes")
    if not 0 < len(apply_id) <= MAX_APPLY_ID_LENGTH:
        return Refused(f"an apply id has 1 to {MAX_APPLY_ID_LENGTH} characters")
    return None
