"""The operator's configuration in force on this daemon."""

from __future__ import annotations

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.feeds import follow
from fulmarleverd.scheduling.ports import Interface, StoredRow
from fulmarleverd.scheduling.specs import SchedulingConfig

NO_CONFIG = SchedulingConfig(version=-1)
# Without an answer of the store for this long, a newer configuration may be in force.
FRESH_S = 2.2
# New callers are sent elsewhere a little earlier.
READY_S = 1.8
FEED_WAIT_S = 0.5
# An outage of the store lasts some seconds; a caller's patience covers a few tries.
RETRY_AFTER_S = 1.0


class QueueBook:
    """Follows the configuration; within one incarnation it never goes back."""

    def __init__(self, interface: Interface, clock: Clock) -> None:
        self.config = NO_CONFIG
        self._interface = interface
        self._clock = clock
        self._checked_s = float("-inf")

    def age_s(self) -> float:
        """Return how long ago the store was last asked for changes and answered."""
        return self._clock.boot() - self._checked_s

    def is_fresh(self) -> bool:
        """Return whether the configuration is known and certainly recent."""
        return self.config is not NO_CONFIG and self.age_s() <= FRESH_S

    def is_ready(self) -> bool:
        """Return whether callers should come to this daemon."""
        return self.config is not NO_CONFIG and self.age_s() <= READY_S

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        interface = self._interface
        table = interface.config_table
        async for batch in follow(interface.store, table, self._clock, FEED_WAIT_S):
            self._checked_s = batch.asked_s
            for row in batch.rows:
                if row.key == interface.config_key and not row.is_deleted:
                    self._take(row)

    def _take(self, row: StoredRow) -> None:
        cfg = self._interface.parse_config(row)
        if failed(cfg):
            log.bind(event="config-unreadable").error(cfg.reason)
        elif cfg.version > self.config.version:
            log.bind(
                event="config-in-force",
                version=cfg.version,
                earlier=self.config.version,
                queues=len(cfg.queues),
            ).info("")
            self.config = cfg
