"""Whether the turn of a task has come, and the room that workers have for it."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.virtual_time import START_UNIX_TIME_S
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarlever_standins.simulation.observed import CallerJob
from fulmarlever_standins.simulation.simulation import Simulation
from fulmarleverd.scheduling.specs import StepSpec


def is_waiting(sim: Simulation, job: CallerJob, task: str) -> bool:
    """Return whether a task neither runs nor is done, and its turn has come."""
    occurrence, step = (int(part) for part in task.split(".")[1:3])
    return is_startable(sim, task) and has_turn(sim, job, occurrence, step)


def is_startable(sim: Simulation, task: str) -> bool:
    """Return whether a task neither runs nor is done."""
    return sim.observed.active[task] <= 0 and task not in sim.observed.done


def has_turn(sim: Simulation, job: CallerJob, occurrence: int, step: int) -> bool:
    """Return whether a step may begin: it is due, and the steps before it are done."""
    now_s = START_UNIX_TIME_S + asyncio.get_running_loop().time()
    return job.spec.due_s(occurrence) <= now_s and all(
        sim.observed.done.issuperset(job.step_task_names(occurrence, number))
        for number in job.spec.steps[step].after
    )


def room_for(sim: Simulation, step: StepSpec, task: str) -> int:
    """Return how many tasks like this one fit on all workers, beside what runs.

    Best-effort tasks may use more than counts here: the cores that serving tasks
    reserve and don't use.
    """
    return sum(
        _room_on(sim, worker, step)
        for worker in sim.workers()
        if has_room(sim, worker, step, task)
    )


def _room_on(sim: Simulation, worker: WorkerCore, step: StepSpec) -> int:
    """Return how many tasks of a step a worker has cores and memory for."""
    cpu_m, memory_mb = sim.used(worker)
    if step.is_best_effort:
        cpu_m += _best_effort_cpu_m(sim, worker)
    return min(
        max(0, worker.cpu - cpu_m) // max(1, step.cpu_m),
        (worker.memory_mb - memory_mb) // max(1, step.memory_mb),
        step.max_per_worker or step.count,
    )


def _best_effort_cpu_m(sim: Simulation, worker: WorkerCore) -> int:
    """Return the thousandths of a core that best-effort tasks declare on a worker."""
    steps = [sim.step_of(task) for task, _ in worker.running]
    return sum(step.cpu_m for step in steps if step.is_best_effort)


def has_room(sim: Simulation, worker: WorkerCore, step: StepSpec, task: str) -> bool:
    """Return whether a worker may run a task and has room for it."""
    cpu_m, memory_mb = sim.used(worker)
    siblings = task.rpartition(".")[0] + "."
    count = sum(other.startswith(siblings) for other, _ in worker.running)
    return (
        worker.state == "ready"
        and worker.id not in sim.refusing
        and (not step.required_label or step.required_label in worker.labels)
        and (not step.max_per_worker or count < step.max_per_worker)
        and cpu_m + step.cpu_m <= worker.cpu
        and memory_mb + step.memory_mb <= worker.memory_mb
        and sim.is_admitted(task.rpartition(".")[0], worker.id)
    )
