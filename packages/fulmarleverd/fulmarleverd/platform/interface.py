"""The implementation of the scheduler's interface for the Authority platform."""

from __future__ import annotations

from fulmarlever.outcomes import Failure, failed
from fulmarleverd.connections.limits import ConnectionLimits, worker_connections
from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.platform.admission import AuthorityAdmission
from fulmarleverd.platform.callers import CallerServer
from fulmarleverd.platform.formats import (
    CONFIG_KEY,
    OPERATOR_TABLE,
    WORKERS_TABLE,
    parse_config,
    parse_evacuated_zone,
    parse_worker,
)
from fulmarleverd.platform.http import HTTPClient
from fulmarleverd.platform.settings import find_changes, read_settings
from fulmarleverd.platform.store import MAX_CONNECTIONS, AuthorityStore
from fulmarleverd.platform.workers import (
    MAX_CONNECTIONS_PER_WORKER,
    AuthorityWorkers,
)
from fulmarleverd.scheduling.ports import INTERFACES, StoredRow
from fulmarleverd.scheduling.specs import (
    SchedulingConfig,
    SchedulingSettings,
    WorkerEntry,
)
from fulmarleverd.scheduling.submission.api import JobCalls

MAX_BODY_BYTES = 1 << 20


@INTERFACES.register("authority")
class AuthorityInterface:
    """The settings, clients and formats of the Authority platform."""

    config_table = OPERATOR_TABLE
    config_key = CONFIG_KEY
    workers_table = WORKERS_TABLE

    def __init__(self, settings: SchedulingSettings) -> None:
        self.settings = settings
        self.loop_delay = LoopDelay()
        self._store_http = HTTPClient(
            settings.address, MAX_CONNECTIONS, self.loop_delay
        )
        self._worker_http = HTTPClient(
            settings.address,
            MAX_CONNECTIONS_PER_WORKER,
            self.loop_delay,
            worker_connections(settings.max_fds),
        )
        self.store = AuthorityStore(settings.store_address, self._store_http)
        self.workers = AuthorityWorkers(self._worker_http)
        self.admission = AuthorityAdmission(
            settings.admission_address, self._worker_http
        )

    @classmethod
    def from_environment(cls) -> AuthorityInterface | Failure:
        """Build the interface from the settings file of this process."""
        settings = read_settings()
        return settings if failed(settings) else cls(settings)

    def reload(self) -> tuple[str, ...] | Failure:
        """Read the settings file again and return the names of the changed settings.

        Changes of the addresses that this process listens on or connects from take
        effect at its next start.
        """
        settings = read_settings()
        if failed(settings):
            return settings
        changed = find_changes(self.settings, settings)
        self.settings = settings
        self.store.set_address(settings.store_address)
        self.admission.set_address(settings.admission_address)
        return changed

    async def open(self) -> None:
        """Start to measure the event loop; the first call opens a connection."""
        self.loop_delay.start()

    async def close(self) -> None:
        """Close the connections."""
        self.loop_delay.stop()
        self._worker_http.close()
        self._store_http.close()

    def build_server(self, calls: JobCalls) -> CallerServer:
        """Return the HTTP server for callers."""
        limits = ConnectionLimits.from_settings(
            self.settings.memory_mb << 20,
            self.settings.max_fds,
            self.settings.connections_per_address,
        )
        return CallerServer(calls, MAX_BODY_BYTES, limits, calls.config)

    def parse_config(self, row: StoredRow) -> SchedulingConfig | Failure:
        """Decode the operator's configuration."""
        return parse_config(row)

    def parse_evacuated_zone(self, key: str) -> str | None | Failure:
        """Return the zone that a row of the operator's table evacuates, if any."""
        return parse_evacuated_zone(key)

    def parse_worker(self, row: StoredRow) -> WorkerEntry | Failure:
        """Decode a worker's entry."""
        return parse_worker(row)
