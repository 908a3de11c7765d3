"""Sends the orders that the recorded states of tasks require."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.backends import server_name
from fulmarleverd.placement.orders import StartOrder, StopOrder
from fulmarleverd.placement.state import ZoneState

SERVICE_LEASE_S = 24 * 3600.0
"""The lease of a service instance.

It is long because two runs of an instance do no harm, while a stop does.
"""

DEFAULT_SERVICE_SLOTS = 8
DEFAULT_SERVICE_CONNECTIONS = 64
"""The limits of an instance whose service is no longer in the configuration."""

SERVICE_DRAIN_S = 30.0


class Outbox:
    """Sends start and stop orders for tasks recorded as starting or stopping.

    Only the recorded state decides which orders are sent, so an order whose response
    was lost is repeated, also by the next placer.
    """

    def __init__(self, state: ZoneState) -> None:
        self.state = state

    def send(self) -> None:
        """Begin the calls to workers for all tasks to start or stop."""
        state = self.state
        for task in self._tasks_to_start():
            order = self._start_order(task)
            # Check the lease last, immediately before the order is sent.
            if order is not None and state.lease.is_valid and self._is_reachable(task):
                state.calls.start(task, order, state.lease.valid_until)
        now_s = state.clock.monotonic()
        for task in state.task_cache.in_states(TaskState.STOPPING):
            may_stop_service = state.backends.may_stop(task, now_s)
            if self._is_reachable(task) and (not task.is_service or may_stop_service):
                state.calls.stop(task, self._stop_order(task))

    def stop_isolated_tasks(self) -> None:
        """Stop the running tasks that must not continue while the table is unreachable.

        They are stopped with a checkpoint if their job supports one. The worker keeps
        the end and the checkpoint until a placer has recorded and acknowledged them.
        """
        for task in self.state.task_cache.in_states(TaskState.RUNNING):
            if self.state.must_stop(task) and self._is_reachable(task):
                self.state.calls.stop(task, self._stop_order(task))

    def _tasks_to_start(self) -> Iterator[Task]:
        yield from self.state.task_cache.in_states(TaskState.STARTING)
        for key in list(self.state.task_cache.service_keys):
            task = self.state.task_cache.entries[key].task
            has_no_address = server_name(task) not in self.state.backends.addresses
            if task.state is TaskState.RUNNING and has_no_address:
                yield task

    def _is_reachable(self, task: Task) -> bool:
        view = self.state.workers.fleet().get(task.worker)
        return view is not None and self.state.workers.is_reachable(view)

    def _start_order(self, task: Task) -> StartOrder | None:
        if task.is_service:
            return self._service_order(task)
        job = self.state.job(task)
        if job is None:
            return None
        return StartOrder(
            task.name,
            task.attempt,
            self.state.epoch,
            self.state.name,
            self.state.settings.task_lease_s,
            job.kind,
            task.reservation,
            job.run_s,
            task.checkpoint,
            job.work,
        )

    def _service_order(self, task: Task) -> StartOrder:
        spec = self.state.workloads.services.get(task.owner)
        limits = {
            "name": server_name(task),
            "slots": spec.slots if spec else DEFAULT_SERVICE_SLOTS,
            "connections": spec.connections if spec else DEFAULT_SERVICE_CONNECTIONS,
        }
        return StartOrder(
            task.name,
            task.attempt,
            self.state.epoch,
            self.state.name,
            SERVICE_LEASE_S,
            task.owner,
            task.reservation,
            0.0,
            service=limits,
        )

    def _stop_order(self, task: Task) -> StopOrder:
        job = self.state.job(task)
        return StopOrder(
            task.name,
            task.attempt,
            self.state.epoch,
            checkpoint=bool(job and job.checkpoint and not task.cancel),
            drain_s=SERVICE_DRAIN_S if task.is_service else 0.0,
        )
