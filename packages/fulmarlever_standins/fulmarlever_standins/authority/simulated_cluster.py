"""A deployment in one process and in virtual time: daemons, workers and the store."""

from __future__ import annotations

import asyncio
import random

from fulmarlever.outcomes import Failure
from fulmarlever_standins.authority.admission import (
    ADMISSION_ADDRESS,
    TICKET_VALIDITY_S,
)
from fulmarlever_standins.authority.network import STORE_ADDRESS, Network
from fulmarlever_standins.authority.processor import Processor, SimulatedLoopDelay
from fulmarlever_standins.authority.record import RunRecord
from fulmarlever_standins.authority.virtual_time import VirtualClock
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarleverd.platform.admission import AuthorityAdmission
from fulmarleverd.platform.formats import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
    WORKERS_TABLE,
    parse_config,
    parse_evacuated_zone,
    parse_worker,
)
from fulmarleverd.platform.store import AuthorityStore
from fulmarleverd.platform.workers import AuthorityWorkers
from fulmarleverd.scheduling.persistence.config_watcher import ConfigWatcher
from fulmarleverd.scheduling.specs import (
    Bounds,
    JobSpec,
    QueueSpec,
    SchedulingSettings,
    StepSpec,
)
from fulmarleverd.scheduling.submission.intake import Intake, JobStatus
from fulmarleverd.scheduling.term.lease import SchedulerLease
from fulmarleverd.scheduling.term.owner_term import OwnerTerm

LABELS_QUEUE = QueueSpec("labels", "a.example", "/labels/", "desk", 0, 2, 1.5, 0.25)
TICKET_QUEUE = QueueSpec(
    "seals",
    "a.example",
    "/seals/",
    "desk",
    needs_ticket=True,
    ticket_validity_s=TICKET_VALIDITY_S,
)
PLANS_QUEUE = QueueSpec("plans", "a.example", "/plans/", "desk", 2, 4, 2.0, 1.0)
SUBMIT_TIMEOUT_S = 2.5
CONFIG = {"version": 1, "routes": [], "services": [{"name": "desk"}]}


class DaemonPlatform:
    """The interfaces of the platform, as called by one daemon."""

    config_table = OPERATOR_TABLE
    config_key = CONFIG_KEY
    workers_table = WORKERS_TABLE
    parse_config = staticmethod(parse_config)
    parse_evacuated_zone = staticmethod(parse_evacuated_zone)
    parse_worker = staticmethod(parse_worker)

    def __init__(self, network: Network, vm: str, bounds: Bounds, cores: float) -> None:
        self.loop_delay = SimulatedLoopDelay(Processor())
        http = network.client(vm, self.loop_delay)
        self.settings = SchedulingSettings(
            *(vm, "z", "", "", "", 0, STORE_ADDRESS),
            cores=cores,
            bounds=bounds,
            has_admission_forecast=True,
            has_learned_run_times=True,
        )
        self.store = AuthorityStore(STORE_ADDRESS, http)
        self.workers = AuthorityWorkers(http)
        self.admission = AuthorityAdmission(ADMISSION_ADDRESS, http)


class WatcherPlatform(DaemonPlatform):
    """The interfaces of the platform for the watcher of the operator's table.

    Its calls take no processor time, and draw losses from a generator of their own, so
    that they do not change what the scheduler draws under a seed.
    """

    def __init__(self, network: Network, vm: str) -> None:
        http = network.client(vm, rng=random.Random(vm))
        self.store = AuthorityStore(STORE_ADDRESS, http)


class Daemon:
    """The scheduler of one daemon, without its HTTP server.

    ``term`` is its latest term as owner, ``None`` before the first one.
    """

    def __init__(self, cluster: SimulatedCluster, vm: str) -> None:
        self.vm = vm
        self.clock = VirtualClock()
        self.platform = DaemonPlatform(
            cluster.network, vm, cluster.bounds, cluster.cores
        )
        self.intake = Intake(self.platform.store, self.clock)
        self.lease = SchedulerLease(self.platform.store, self.clock, vm)
        self.term: OwnerTerm | None = None
        self.watcher = ConfigWatcher(WatcherPlatform(cluster.network, vm), self.clock)
        loop = asyncio.get_running_loop()
        self._watch = loop.create_task(self.watcher.run())
        self._task = loop.create_task(self._run())

    async def _run(self) -> None:
        watcher = self.watcher
        while True:
            await self.lease.acquire()
            self.term = OwnerTerm(
                self.platform,
                self.lease,
                self.clock,
                watcher.evacuated,
                lambda: watcher.config,
            )
            await self.term.run()

    async def submit(
        self, spec: JobSpec, queue: QueueSpec = LABELS_QUEUE
    ) -> None | Failure:
        """Submit a job through this daemon, with a timeout of ``SUBMIT_TIMEOUT_S``.

        Return ``None`` if the job was accepted.
        """
        until_s = self.clock.monotonic() + SUBMIT_TIMEOUT_S
        return await self.intake.submit(spec, queue, until_s)

    async def state(self, job_id: str) -> JobStatus | Failure:
        """Return the status of a job as this daemon reads it."""
        return await self.intake.status(job_id)

    def kill_nowait(self) -> None:
        """Crash the daemon, without a release of its lease and without waiting."""
        self._task.cancel()
        self._watch.cancel()

    async def kill(self) -> None:
        """Crash the daemon, without a release of its lease, and wait for its end."""
        self.kill_nowait()
        await asyncio.gather(self._task, self._watch, return_exceptions=True)


class SimulatedCluster:
    """Daemons and workers that share one store, with a record of every run.

    ``cores`` are what the settings of daemons started from now on say of their VMs.
    It has to be created in a running event loop, such as that of ``run_virtual``.
    """

    def __init__(self, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self.cores = 1.0
        self.network = Network()
        self.network.store.put_json(OPERATOR_TABLE, CONFIG_KEY, CONFIG)
        self.daemons: dict[str, Daemon] = {}
        self.record = RunRecord()

    def add_daemons(self, *vms: str) -> None:
        """Start one daemon on each of the given VMs."""
        for vm in vms:
            self.daemons[vm] = Daemon(self, vm)

    def add_workers(self, count: int, prefix: str = "w") -> list[WorkerCore]:
        """Add workers named by a prefix and a number from 0, with their entries."""
        return [self.add_worker(f"{prefix}{number}") for number in range(count)]

    def add_worker(self, worker_id: str, born: int = 1, zone: str = "z") -> WorkerCore:
        """Add one worker, or a new incarnation of one under the same id."""
        worker = WorkerCore(worker_id, f"{worker_id}:1", zone, born)
        self.record.attach(worker)
        self.network.add_worker(worker)
        return worker

    def evacuate(self, zone: str) -> None:
        """Write the operator's row for a zone, acknowledged at once."""
        self.network.store.put_json(OPERATOR_TABLE, EVACUATION_PREFIX + zone, {})

    def restore(self, zone: str) -> None:
        """Remove the operator's row that evacuates a zone."""
        self.network.store.remove(OPERATOR_TABLE, EVACUATION_PREFIX + zone)

    def restart_worker(self, old: WorkerCore, entry_delay_s: float) -> WorkerCore:
        """Begin another incarnation of a worker under its id and address at once.

        Its entry in the store is written ``entry_delay_s`` seconds later, if it still
        runs then.
        """
        self.crash_worker(old)
        return self.return_worker(old, entry_delay_s)

    def return_worker(self, old: WorkerCore, entry_delay_s: float) -> WorkerCore:
        """Begin another incarnation of a crashed worker under its id and address."""
        worker = WorkerCore(old.id, old.address, old.zone, old.born + 1)
        worker.task_duration_s = old.task_duration_s
        self.record.attach(worker)
        self.network.workers[worker.address] = worker
        loop = asyncio.get_running_loop()
        loop.call_later(entry_delay_s, self._write_entry, worker)
        return worker

    def _write_entry(self, worker: WorkerCore) -> None:
        """Write the entry of a worker, unless it has crashed in the meantime."""
        if self.network.workers.get(worker.address) is worker:
            self.network.add_worker(worker)

    def crash_worker(self, worker: WorkerCore) -> None:
        """Remove a worker and its runs; the ends of the runs are never reported."""
        del self.network.workers[worker.address]
        self.record.detach(worker)

    def owner(self) -> Daemon | None:
        """Return the daemon whose lease is valid by its own clock."""
        valid = [d for d in self.daemons.values() if d.lease.is_valid]
        return valid[0] if valid else None

    def count_owners(self) -> int:
        """Return how many daemons hold a lease that is valid by their own clock."""
        return sum(daemon.lease.is_valid for daemon in self.daemons.values())

    async def wait_for_owner(self) -> Daemon:
        """Wait until the lease's owner has reconciled all of its workers; return it."""
        while True:
            daemon = self.owner()
            if daemon and daemon.term and self._are_workers_reconciled(daemon.term):
                return daemon
            await asyncio.sleep(0.05)

    def _are_workers_reconciled(self, term: OwnerTerm) -> bool:
        fleet = list(term.owner.fleet)
        return bool(fleet) and all(worker.is_reconciled for worker in fleet)

    async def wait_for_state(
        self, daemon: Daemon, job_id: str, state: str, timeout_s: float = 60.0
    ) -> float:
        """Wait until a job has a state; return the virtual seconds that it took.

        Raise ``AssertionError`` if the job has another state after ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while loop.time() - started_s < timeout_s:
            status = await daemon.state(job_id)
            if isinstance(status, JobStatus) and status.state == state:
                return loop.time() - started_s
            await asyncio.sleep(0.05)
        raise AssertionError(f"{job_id} is not {state} after {timeout_s} s: {status}")


def job(job_id: str, *steps: StepSpec) -> JobSpec:
    """Return a job with the given steps, by default one step of two tasks."""
    default = StepSpec(count=2, cpu_m=1000, memory_mb=100, estimate_s=0.5)
    return JobSpec(job_id, "payload", steps or (default,))
