"""The operator's configuration and evacuated zones, followed in the store.

Ages are seconds on the boot clock, which includes time spent suspended.
"""

from __future__ import annotations

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.evacuation.zones import EvacuatedZones
from fulmarleverd.scheduling.persistence.feeds import Batch, follow
from fulmarleverd.scheduling.ports import Interface, StoredRow
from fulmarleverd.scheduling.specs import NO_CONFIG

# Once the store has not answered for this long, a newer configuration may be in force.
MAX_CONFIG_AGE_S = 2.2
# Lower, so that new callers go elsewhere before their requests would be refused.
MAX_READY_CONFIG_AGE_S = 1.8
# How long the store holds a request for changes while there are none.
FEED_WAIT_S = 0.5
# Bounds a log line; the table may hold any number of rows.
MAX_ZONES_LOGGED = 20
# An outage of the store lasts some seconds, and callers wait long enough for a few
# retries at this interval.
RETRY_AFTER_S = 1.0


class ConfigWatcher:
    """Follows the configuration; its version never decreases while the daemon runs.

    ``evacuated`` are the zones that the operator has evacuated.
    """

    def __init__(self, interface: Interface, clock: Clock) -> None:
        self.config = NO_CONFIG
        self.evacuated = EvacuatedZones(clock)
        self._unreadable_keys: set[str] = set()
        self._interface = interface
        self._clock = clock
        self._checked_at_s = float("-inf")

    def age_s(self) -> float:
        """Return the seconds since the last request for changes that was answered.

        The age is infinite before the first answer.
        """
        return self._clock.boot() - self._checked_at_s

    def is_fresh(self) -> bool:
        """Return whether the configuration is known and recent enough to act on."""
        return self.config is not NO_CONFIG and self.age_s() <= MAX_CONFIG_AGE_S

    def is_ready(self) -> bool:
        """Return whether callers should be routed to this daemon."""
        return self.config is not NO_CONFIG and self.age_s() <= MAX_READY_CONFIG_AGE_S

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        interface = self._interface
        table = interface.config_table
        async for batch in follow(interface.store, table, self._clock, FEED_WAIT_S):
            self._checked_at_s = batch.requested_at_s
            for row in batch.rows:
                if row.key == interface.config_key and not row.is_deleted:
                    self._apply_config(row)
            self._apply_evacuations(batch)

    def _apply_evacuations(self, batch: Batch) -> None:
        """Update the evacuated zones by all rows of a batch at once."""
        zones = set() if batch.is_snapshot else set(self.evacuated.zones)
        for row in batch.rows:
            zone = self._interface.parse_evacuated_zone(row.key)
            if failed(zone):
                if row.key not in self._unreadable_keys:
                    self._unreadable_keys.add(row.key)
                    log.bind(event="evacuation-unreadable").error(zone.reason)
            elif zone is not None and row.is_deleted:
                zones.discard(zone)
            elif zone is not None:
                zones.add(zone)
        if zones != self.evacuated.zones:
            log.bind(
                event="evacuations-known",
                count=len(zones),
                zones=sorted(zones)[:MAX_ZONES_LOGGED],
            ).info("")
        self.evacuated.update(zones, batch.requested_at_s)

    def _apply_config(self, row: StoredRow) -> None:
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
