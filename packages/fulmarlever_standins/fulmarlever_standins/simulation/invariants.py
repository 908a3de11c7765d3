"""Promises of the scheduler, checked on what callers and workers see.

Each check is a generator of violations in a registry: of starts, when a worker starts a
run, and of a play, when all faults have ended and the jobs had time to end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator

from fulmarlever.registry import Registry
from fulmarlever_standins.authority.virtual_time import START_UNIX_TIME_S
from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.simulation.observed import CallerJob
from fulmarlever_standins.simulation.room import has_room, is_waiting
from fulmarlever_standins.simulation.simulation import Simulation

StartCheck = Callable[["Simulation", WorkerCore, RunKey], Iterator[str]]
EndCheck = Callable[["Simulation", CallerJob, str], Iterator[str]]
START_CHECKS: Registry[StartCheck] = Registry("check of a start")
END_CHECKS: Registry[EndCheck] = Registry("check of a job's end")

EARLY_S = 0.25
# Added to it once the time of day of a daemon has been stepped.
CLOCK_STEP_S = 5.0
MIN_CRASHES = 2
# The bound for starts after a cancellation.
CANCEL_S = 3.0
FINAL_STATES = ("completed", "failed", "cancelled")


@START_CHECKS.register("asked for")
def check_known(sim: Simulation, worker: WorkerCore, key: RunKey) -> Iterator[str]:
    """Nothing starts that no caller has asked for, or that was refused."""
    job = sim.observed.job_of(key[0])
    if job is None or job.is_refused:
        yield "started, but refused or unknown"


@START_CHECKS.register("on an allowed worker")
def check_worker(sim: Simulation, worker: WorkerCore, key: RunKey) -> Iterator[str]:
    """The worker has the label, and not too many tasks of the step."""
    step = sim.step_of(key[0])
    if step.required_label and step.required_label not in worker.labels:
        yield f"started on {worker.id} without the label {step.required_label}"
    siblings = key[0].rpartition(".")[0] + "."
    count = sum(task.startswith(siblings) for task, _ in worker.running)
    if step.max_per_worker and count > step.max_per_worker:
        yield f"{count} tasks of its step run on {worker.id}"


@START_CHECKS.register("within the capacity")
def check_capacity(sim: Simulation, worker: WorkerCore, key: RunKey) -> Iterator[str]:
    """The runs of a worker fit on it."""
    cpu_m, memory_mb = sim.used(worker)
    if cpu_m > worker.cpu or memory_mb > worker.memory_mb:
        yield f"{worker.id} holds {cpu_m} of {worker.cpu} cores, {memory_mb} MB"


@START_CHECKS.register("in order")
def check_order(sim: Simulation, worker: WorkerCore, key: RunKey) -> Iterator[str]:
    """Earlier steps are done, and the occurrence is due."""
    job = sim.observed.job_of(key[0])
    if job is None:
        return
    occurrence, step = (int(part) for part in key[0].split(".")[1:3])
    for earlier in job.spec.steps[step].after:
        if not sim.observed.done.issuperset(job.step_task_names(occurrence, earlier)):
            yield f"started before step {earlier} was done"
    now_s = START_UNIX_TIME_S + asyncio.get_running_loop().time()
    early_s = EARLY_S + (CLOCK_STEP_S if sim.has_clock_steps else 0.0)
    if now_s < job.spec.due_s(occurrence) - early_s:
        yield "started before its time"


@START_CHECKS.register("not cancelled")
def check_cancelled(sim: Simulation, worker: WorkerCore, key: RunKey) -> Iterator[str]:
    """Nothing starts for long after its cancellation was acknowledged."""
    job = sim.observed.job_of(key[0])
    if job is None or job.cancelled_at_s is None:
        return
    passed_s = asyncio.get_running_loop().time() - job.cancelled_at_s
    if min(passed_s, sim.calm.seconds) > CANCEL_S:
        yield f"started {passed_s:.1f} s after its cancellation"


@START_CHECKS.register("within its attempts")
def check_attempts(sim: Simulation, worker: WorkerCore, key: RunKey) -> Iterator[str]:
    """A task that has failed as often as it may is not started again."""
    job = sim.observed.job_of(key[0])
    if job is None or sim.step_of(key[0]).is_long_running:
        return
    ends = sim.observed.failed_ends[key[0]]
    known = sum(number in other.known_ends for other, number in ends)
    if known >= job.drawn.queue.max_attempts and not sim.step_of(key[0]).is_speculative:
        yield f"started after {known} known failures"


@START_CHECKS.register("not in an evacuated zone")
def check_zone(sim: Simulation, worker: WorkerCore, key: RunKey) -> Iterator[str]:
    """Nothing begins in a zone for long after the operator has evacuated it.

    A start that arrives late counts from when it would have arrived.
    """
    late_s = sim.evacuations.late_s(worker) - sim.cluster.network.start_delay_s
    if late_s > 0.0:
        where = f"{worker.id} of the evacuated zone {worker.zone}"
        yield f"began on {where}, {late_s:.2f} s late"


@END_CHECKS.register("ended for cause")
def check_final(sim: Simulation, job: CallerJob, state: str) -> Iterator[str]:
    """An accepted job is known, and fails only after enough failures or crashes."""
    if not job.is_accepted or job.may_be_cancelled:
        return
    if state in ("unknown", "no answer"):
        yield f"accepted, but {state}"
    if state == "failed":
        names = job.task_names()
        failures = max(len(sim.observed.failed_ends[name]) for name in names)
        crashes = max(sim.observed.crashes[name] for name in names)
        if failures < job.drawn.queue.max_attempts and crashes < MIN_CRASHES:
            yield f"failed, with {failures} failures and {crashes} crashes of a task"
    if state == "cancelled":
        yield "cancelled by nobody"


@END_CHECKS.register("completed as a whole")
def check_completed(sim: Simulation, job: CallerJob, state: str) -> Iterator[str]:
    """A job is completed only if every task is done."""
    missing = [name for name in job.task_names() if name not in sim.observed.done]
    if state == "completed" and missing:
        yield f"completed, but {len(missing)} tasks are not done"


@END_CHECKS.register("nothing runs after the end")
def check_stopped(sim: Simulation, job: CallerJob, state: str) -> Iterator[str]:
    """Nothing of a job with a final state runs, and an acknowledged cancel ends it."""
    running = [name for name in job.task_names() if sim.observed.active[name] > 0]
    if running and state in FINAL_STATES:
        yield f"{state}, but {running[0]} runs"
    is_stored = job.is_accepted or state != "unknown"
    if job.cancelled_at_s is not None and is_stored and state not in FINAL_STATES:
        yield f"its cancellation was acknowledged, but it is {state}"


@END_CHECKS.register("never idle")
def check_idle(sim: Simulation, job: CallerJob, state: str) -> Iterator[str]:
    """No task whose turn has come waits for long while workers have room for it."""
    if not job.is_accepted or job.may_be_cancelled or state in FINAL_STATES:
        return
    for name in filter(sim.idle.__contains__, job.task_names()):
        yield f"{name} waits, though {sim.idle[name]} has room"
        return


def find_idle(sim: Simulation, names: Iterable[str]) -> dict[str, str]:
    """Return which of some tasks wait now while a worker has room, with the worker."""
    found = {}
    for name in names:
        job = sim.observed.job_of(name)
        if not is_waiting(sim, job, name):
            continue
        step = job.step_of(name)
        roomy = (w.id for w in sim.workers() if has_room(sim, w, step, name))
        worker_id = next(roomy, None)
        if worker_id is not None:
            found[name] = worker_id
    return found
