"""The cost of telling callers how many jobs wait, by the number of jobs and callers.

Run ``python -m fulmarlever_standins.measurements.waiting_jobs``. One daemon's reader
asks the store of the stand-in, in this process and in real time. A row has the means of
one refresh, which all callers that ask at the same time share:

* ``calls``: calls to the store,
* ``KB``: bytes of the rows that it answers with,
* ``cpu ms``: processor time of the store, the client and the reader together,
* ``peak KiB``: memory that Python allocated meanwhile at most.
"""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever_standins.authority.network import STORE_ADDRESS, Network
from fulmarlever_standins.authority.simulated_cluster import LABELS_QUEUE, job
from fulmarleverd.platform.store import AuthorityStore
from fulmarleverd.scheduling.persistence.rows import (
    SUMMARY_KEY,
    JobRow,
    cancel_row,
    job_row,
    pack,
    pack_job,
    progress_row,
)
from fulmarleverd.scheduling.ports import RowSet, StoredRow
from fulmarleverd.scheduling.published.publication import Publication
from fulmarleverd.scheduling.published.waiting_jobs import WaitingJobs
from fulmarleverd.scheduling.published.waiting_jobs_reader import WaitingJobsReader

# About as long as the text that a caller may submit with a job.
PAYLOAD = "".join(f"{number:08x}" for number in range(500))
JOB_COUNTS = (100, 1000, 5000)
CALLERS = 1000
ROUNDS = 5
NEW_JOBS = 50


class CountingStore(AuthorityStore):
    """The store's client, which counts the bytes of the rows that it reads."""

    __slots__ = ("row_bytes",)

    def __init__(self, network: Network) -> None:
        super().__init__(STORE_ADDRESS, network.client("vm-1"))
        self.row_bytes = 0

    async def read(self, *args: object, **options: object) -> object:
        """Read a page; see ``Store.read``."""
        return self._count(await super().read(*args, **options))

    async def changes(self, *args: object) -> object:
        """Read changes; see ``Store.changes``."""
        return self._count(await super().changes(*args))

    def _count(self, found: object) -> object:
        if isinstance(found, RowSet):
            self.row_bytes += sum(len(row.value) for row in found.rows)
        return found


@dataclass(slots=True, frozen=True)
class Case:
    """What has happened in the store since the number was published."""

    name: str
    change: Callable[[JobTable], None]


class JobTable:
    """Jobs in a store, a fifth of which have begun, and the published number."""

    def __init__(self, network: Network, count: int) -> None:
        self.store = network.store
        self._accepted = 0
        for _ in range(count):
            self.accept()
        for number in range(0, count, 5):
            value = pack(["running", True, "", [], []])
            self._put(progress_row(f"{number:016x}", value))
        as_of_s = asyncio.get_running_loop().time()
        waiting = WaitingJobs({LABELS_QUEUE.name: count}, self.store.version)
        row = Publication("vm-0", 1, as_of_s, waiting.pack()).to_row(SUMMARY_KEY)
        self._put(row)

    def _put(self, row: StoredRow) -> None:
        self.store.put(row.table, row.key, row.value, row.partition)

    def accept(self) -> None:
        """Add a job."""
        spec = replace(job(f"{self._accepted:016x}"), payload=PAYLOAD)
        self._put(job_row(spec.id, pack_job(JobRow(spec, LABELS_QUEUE, 1.0))))
        self._accepted += 1

    def accept_some(self) -> None:
        """Add some jobs."""
        for _ in range(NEW_JOBS):
            self.accept()

    def cancel_some(self) -> None:
        """Cancel some of the earlier jobs."""
        for number in range(NEW_JOBS):
            self._put(cancel_row(f"{number:016x}"))


CASES = (
    Case("published", lambda jobs: None),
    Case(f"{NEW_JOBS} jobs since", JobTable.accept_some),
    Case(f"{NEW_JOBS} cancelled since", JobTable.cancel_some),
    Case("history dropped", lambda jobs: jobs.store.drop_history()),
)


async def measure(case: Case, count: int) -> tuple[float, float, float, float]:
    """Return calls, kilobytes, milliseconds and KiB of one refresh, on average."""
    network = Network()
    jobs = JobTable(network, count)
    if case is not CASES[0]:
        # Old enough to be brought up to date.
        await asyncio.sleep(2.0)
    case.change(jobs)
    stores = [CountingStore(network) for _ in range(ROUNDS)]
    readers = [WaitingJobsReader(store, Clock()) for store in stores]
    calls = network.store.calls
    started_s = time.process_time()
    for reader in readers:
        asked = (reader.find(LABELS_QUEUE.name) for _ in range(CALLERS))
        await asyncio.gather(*asked)
    cpu_ms = (time.process_time() - started_s) * 1000.0 / ROUNDS
    calls = (network.store.calls - calls) / ROUNDS
    kilobytes = sum(store.row_bytes for store in stores) / ROUNDS / 1000.0
    tracemalloc.start()
    await WaitingJobsReader(CountingStore(network), Clock()).find(LABELS_QUEUE.name)
    peak_kib = tracemalloc.get_traced_memory()[1] / 1024.0
    tracemalloc.stop()
    return calls, kilobytes, cpu_ms, peak_kib


def main() -> None:
    """Measure all cases and print a table."""
    log.remove()
    print(f"| case ({CALLERS} callers) | jobs | calls | KB | cpu ms | peak KiB |")
    print("| --- | --- | --- | --- | --- | --- |")
    for count in JOB_COUNTS:
        for case in CASES:
            values = asyncio.run(measure(case, count))
            cells = " | ".join(f"{value:.1f}" for value in values)
            print(f"| {case.name} | {count} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
