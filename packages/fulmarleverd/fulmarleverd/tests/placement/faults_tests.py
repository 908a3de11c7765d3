from __future__ import annotations

import asyncio
from collections import Counter

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from loguru import logger as log

from fulmarlever.structure.configuration import IsolationRule, JobSpec
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.placement.task_cache import RESERVING_STATES
from fulmarleverd.tests.placement.fakes import Cluster, Daemon
from fulmarleverd.tests.placement.naive import naive_daemon

WORKERS = ("w0", "w1", "w2")
ENTRY_VMS = ("entry-a-1", "entry-a-2")
WORKER_SIZE = Size(8, 8000, 0)
SIZES = (Size(2, 1000), Size(4, 3000), Size(8, 1000))

workers = st.sampled_from(WORKERS)
vms = st.sampled_from(ENTRY_VMS)
numbers = st.integers(0, 1000)


class PlacementMachine(RuleBasedStateMachine):
    """Two daemons of one zone and three workers, with injected faults.

    Faults are frozen, restarted and isolated daemons, frozen, crashed and removed
    workers, cut and delaying links, lost answers and an unreachable table.
    """

    is_naive = False

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.cluster = Cluster()
        self.daemons: dict[str, Daemon] = {}
        self.frozen: set[str] = set()
        self.incarnations: Counter[str] = Counter()
        self.final: dict[str, str] = {}
        self.submitted: list[JobSpec] = []
        for name in WORKERS:
            self.cluster.add_worker(name, rack=name, size=WORKER_SIZE)
        for vm in ENTRY_VMS:
            self.start_daemon(vm)

    def teardown(self) -> None:
        self.runner.close()

    def start_daemon(self, vm: str) -> None:
        self.incarnations[vm] += 1
        incarnation = self.incarnations[vm]
        daemon = self.cluster.add_daemon(vm, incarnation=incarnation)
        if self.is_naive:
            naive_daemon(daemon)
        self.daemons[vm] = daemon

    def advance(self, seconds: float, step_s: float = 1.0) -> None:
        active = [d for vm, d in self.daemons.items() if vm not in self.frozen]
        if active:
            self.runner.run(self.cluster.run(seconds, *active, step_s=step_s))
        else:
            self.cluster.clock.advance(seconds)

    def tasks(self) -> list[Task]:
        rows = self.cluster.table.read([], ["task/"])
        return [Task.from_wire(row.value) for row in rows]

    def holder(self) -> str | None:
        for vm, daemon in self.daemons.items():
            if daemon.placer.is_holder and vm not in self.frozen:
                return vm
        return None

    def nth_running(self, number: int) -> tuple[str, str] | None:
        running = [
            (name, task)
            for name, worker in self.cluster.fleet.workers.items()
            for task in worker.running()
        ]
        return running[number % len(running)] if running else None

    @initialize()
    def submit_first_job(self) -> None:
        self.submit(size=SIZES[0], tasks=3, rule=IsolationRule.KEEP, vm=ENTRY_VMS[0])
        self.advance(3)

    @rule(
        size=st.sampled_from(SIZES),
        tasks=st.integers(1, 4),
        rule=st.sampled_from(IsolationRule),
        vm=vms,
    )
    def submit(self, size: Size, tasks: int, rule: IsolationRule, vm: str) -> None:
        name = f"job{len(self.submitted)}"
        spec = JobSpec(name, "team", "kind", tasks=tasks, size=size, isolation=rule)
        self.submitted.append(spec)
        self.runner.run(self.daemons[vm].jobs.submit_spec(spec))

    @rule(seconds=st.integers(1, 3))
    def wait(self, seconds: int) -> None:
        self.advance(seconds)

    @rule()
    def wait_for_takeover(self) -> None:
        self.advance(10)

    @rule()
    def wait_for_leases(self) -> None:
        self.advance(24)

    @rule(number=numbers, state=st.sampled_from(("done", "done", "failed")))
    def finish(self, number: int, state: str) -> None:
        found = self.nth_running(number)
        if found is not None:
            self.cluster.fleet.workers[found[0]].finish(found[1], state)

    @rule(number=numbers, vm=vms)
    def evict(self, number: int, vm: str) -> None:
        zone = self.daemons[vm].placer.zone
        tasks = list(zone.task_cache.entries) if zone else []
        if tasks:
            zone.evict(tasks[number % len(tasks)], "evicted by a test")

    @rule(number=numbers, vm=vms, is_finished=st.booleans())
    def cancel(self, number: int, vm: str, is_finished: bool) -> None:
        name = self.submitted[number % len(self.submitted)].name
        if is_finished:
            self.finish(number, "done")
        self.runner.run(self.daemons[vm].jobs.cancel(name))

    @rule(vm=vms)
    def cancel_all_but_first(self, vm: str) -> None:
        for spec in self.submitted[1:]:
            self.runner.run(self.daemons[vm].jobs.cancel(spec.name))

    @rule(vm=vms)
    def freeze(self, vm: str) -> None:
        self.frozen.add(vm)

    @rule(vm=vms)
    def unfreeze(self, vm: str) -> None:
        self.frozen.discard(vm)

    @rule(vm=vms, is_end_known=st.booleans())
    def restart(self, vm: str, is_end_known: bool) -> None:
        ended = self.daemons[vm].membership.identity
        self.frozen.discard(vm)
        self.start_daemon(vm)
        if is_end_known:
            for daemon in self.daemons.values():
                daemon.membership.ended.add(ended)

    @rule(vm=vms, worker=workers, is_delayed=st.booleans())
    def cut_or_delay_link(self, vm: str, worker: str, is_delayed: bool) -> None:
        faults = (
            self.cluster.fleet.delayed_links
            if is_delayed
            else self.cluster.fleet.cut_links
        )
        faults.add((vm, worker))

    @rule()
    def deliver_orders(self) -> None:
        self.cluster.fleet.delayed_links.clear()
        self.cluster.fleet.cut_links.clear()
        self.cluster.fleet.deliver_delayed()

    @rule(
        seconds=st.sampled_from((1, 3, 25)),
        is_frozen=st.booleans(),
        size=st.sampled_from(SIZES),
        number=numbers,
    )
    def delay_holder(
        self, seconds: int, is_frozen: bool, size: Size, number: int
    ) -> None:
        """Delay the writes or the orders that the holder sends within 1 s."""
        vm = self.holder()
        if vm is None:
            return
        platform, fleet = self.daemons[vm].platform, self.cluster.fleet
        links = {(vm, worker) for worker in WORKERS}
        self.submit(size, 2, IsolationRule.MOVE, vm)
        self.finish(number, "done")
        if number % 2:
            platform.delays_writes = True
        else:
            fleet.delayed_links |= links
        self.advance(1)
        platform.delays_writes = False
        fleet.delayed_links -= links
        if is_frozen:
            self.frozen.add(vm)
            self.advance(10)
        self.finish(number, "done")
        self.advance(seconds)
        platform.deliver_delayed()
        fleet.deliver_delayed()
        self.frozen.discard(vm)

    @rule(worker=workers, seconds=st.sampled_from((5, 25)))
    def isolate_holder_and_worker(self, worker: str, seconds: int) -> None:
        """Cut the holder off from the table and a worker off from the other daemon."""
        vm = self.holder()
        if vm is None:
            return
        others = {(name, worker) for name in ENTRY_VMS if name != vm}
        self.daemons[vm].platform.is_table_up = False
        self.cluster.fleet.cut_links |= others
        self.advance(10)
        self.advance(seconds)
        self.no_task_runs_on_two_workers()
        self.daemons[vm].platform.is_table_up = True
        self.cluster.fleet.cut_links -= others

    @rule(worker=workers, size=st.sampled_from(SIZES))
    def lose_worker(self, worker: str, size: Size) -> None:
        """Freeze a worker until its leases have ended, then unfreeze it."""
        self.cluster.fleet.frozen.add(worker)
        self.submit(size, 2, IsolationRule.KEEP, ENTRY_VMS[0])
        self.advance(26)
        self.cluster.fleet.frozen.discard(worker)
        self.cluster.fleet.deliver_delayed()

    @rule(worker=workers)
    def freeze_worker(self, worker: str) -> None:
        self.cluster.fleet.frozen.add(worker)

    @rule()
    def unfreeze_workers(self) -> None:
        self.cluster.fleet.frozen.clear()
        self.cluster.fleet.deliver_delayed()

    @rule(worker=workers)
    def crash_worker(self, worker: str) -> None:
        self.cluster.fleet.workers[worker].runs.clear()

    @rule(worker=workers)
    def unlist_worker_for_a_while(self, worker: str) -> None:
        """Remove a live VM from the VM list for 10 s."""
        self.cluster.vms.pop(worker, None)
        self.advance(10)
        self.restore_vm_list()

    @rule(worker=workers)
    def remove_vm(self, worker: str) -> None:
        """End a VM and remove it from the VM list 5 s later."""
        self.crash_worker(worker)
        self.cluster.fleet.frozen.add(worker)
        self.advance(5)
        self.cluster.vms.pop(worker, None)

    @rule()
    def restore_vm_list(self) -> None:
        for name, worker in self.cluster.fleet.workers.items():
            self.cluster.vms[name] = worker.vm
            if name in self.cluster.fleet.frozen:
                self.crash_worker(name)

    @rule(vm=vms, is_up=st.booleans())
    def set_table_reachable(self, vm: str, is_up: bool) -> None:
        self.daemons[vm].platform.is_table_up = is_up

    @rule(vm=vms, is_delayed=st.booleans())
    def delay_writes(self, vm: str, is_delayed: bool) -> None:
        self.daemons[vm].platform.delays_writes = is_delayed

    @rule()
    def deliver_writes(self) -> None:
        for daemon in self.cluster.daemons:
            daemon.platform.deliver_delayed()

    @rule(vm=vms, count=st.integers(1, 3))
    def lose_answers(self, vm: str, count: int) -> None:
        self.daemons[vm].platform.lose_answers = count
        self.cluster.fleet.lose_answers = count

    @invariant()
    def no_task_runs_on_two_workers(self) -> None:
        for task in self.tasks():
            worker_names = self.cluster.fleet.workers_running(task.name)
            assert len(worker_names) <= 1, (task.name, worker_names)

    @invariant()
    def each_attempt_starts_once(self) -> None:
        starts = Counter(
            (task, attempt)
            for worker in self.cluster.fleet.workers.values()
            for task, attempt, _ in worker.starts
        )
        assert all(count == 1 for count in starts.values()), starts

    @invariant()
    def no_worker_over_capacity(self) -> None:
        reserved: dict[str, Size] = {}
        for task in self.tasks():
            if task.state in RESERVING_STATES:
                before = reserved.get(task.worker, Size())
                reserved[task.worker] = before + task.reservation
        for worker, size in reserved.items():
            assert size.fits_in(WORKER_SIZE), (worker, size)
        for worker in self.cluster.fleet.workers.values():
            assert worker.overruns == 0, worker.vm.name

    @invariant()
    def final_states_are_correct_and_permanent(self) -> None:
        ends = {
            key
            for worker in self.cluster.fleet.workers.values()
            for key, state in worker.ends.items()
            if state == "done"
        }
        for task in self.tasks():
            known = self.final.get(task.key)
            assert known in (None, str(task.state)), (task.key, known, task.state)
            if not task.state.is_final:
                continue
            self.final[task.key] = str(task.state)
            assert not self.cluster.fleet.workers_running(task.name), task
            if task.state == "done":
                assert (task.name, task.attempt) in ends, task

    def end_all_faults(self) -> None:
        self.deliver_orders()
        self.unfreeze_workers()
        self.restore_vm_list()
        self.frozen.clear()
        self.cluster.fleet.lose_answers = 0
        for daemon in self.cluster.daemons:
            daemon.platform.is_table_up = True
            daemon.platform.delays_writes = False
            daemon.platform.lose_answers = 0
            daemon.platform.deliver_delayed()


class RecoveryMachine(PlacementMachine):
    """The same faults, and a check that every job ends after they are over."""

    def teardown(self) -> None:
        self.end_all_faults()
        for _ in range(60):
            for worker in self.cluster.fleet.workers.values():
                for name in list(worker.running()):
                    worker.finish(name)
            self.advance(2)
            self.final_states_are_correct_and_permanent()
            self.no_task_runs_on_two_workers()
        jobs = self.runner.run(self.daemons[ENTRY_VMS[0]].jobs.listing())
        super().teardown()
        for job in jobs:
            assert job.state in ("done", "failed", "cancelled"), job


class NaiveMachine(PlacementMachine):
    """The naive placer under the same faults and invariants."""

    is_naive = True


class FaultsTests(TableTestCase):
    def setUp(self):
        log.disable("fulmarleverd")
        self.addCleanup(log.enable, "fulmarleverd")

    def run_machine(self, machine: type, examples: int, steps: int) -> None:
        # Shrinking a failing example takes minutes; its steps are printed unshrunk.
        limits = settings(
            max_examples=examples,
            stateful_step_count=steps,
            phases=(Phase.generate,),
            report_multiple_bugs=False,
        )
        run_state_machine_as_test(machine, settings=limits)

    def test_invariants_hold_under_faults(self):
        self.run_machine(PlacementMachine, examples=50, steps=30)

    def test_all_jobs_end_after_faults_are_over(self):
        self.run_machine(RecoveryMachine, examples=10, steps=25)

    def test_naive_placer_violates_the_invariants(self):
        with self.assertRaises(AssertionError):
            self.run_machine(NaiveMachine, examples=150, steps=40)
