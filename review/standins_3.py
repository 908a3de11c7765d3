"""A small deployment on loopback addresses for the scripts of review/11 to review/15.

The daemons are the project's own programs, started with the command of the deploy file.
The store and the workers are the project's stand-ins, served over HTTP. What is sent,
answered and run goes to the record, with the seconds since its start.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from fulmarlever.outcomes import failed
from fulmarlever_standins.authority.network import Network
from fulmarlever_standins.authority.server import PlatformServer
from fulmarlever_standins.authority.worker import RunKey, WorkerCore, WorkerRun
from fulmarlever_standins.topology import reserve_loopback_prefix
from fulmarleverd.scheduling.persistence.rows import (
    LEASE_KEY,
    LEASE_TABLE,
    lease_row,
    unpack_lease,
)

ROOT = Path(__file__).resolve().parent.parent
CALLER_PORT, READY_PORT, METRICS_PORT = 8161, 8167, 7720
HOST = "nony24.example"
SERVICE = "fill-desk"
# The bounds of sites/ppawa-fill.toml, as its settings file states them.
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "holdMaxMs": 10000,
    "stopTimeoutMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "noticeMs": 4500,
    "harmMs": 4000,
}
# Queue, priority and maxAttempts.
QUEUES = (("label-run", 0, 2), ("blend-plan", 2, 4), ("dryer-watch", 0, 4))
CORES_M, MEMORY_MB = 32000, 128000
# A task that lasts is at work after this time, and its percent is 100 then.
STARTUP_S = 0.5
PERCENT_AT_WORK = 100
READY_TIMEOUT_S = 20.0
SUBMIT_ATTEMPTS = 5
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._path.write_text("")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._began_s

    def add(self, text: str) -> None:
        """Write a line."""
        with self._path.open("a") as lines:
            lines.write(f"{self.now_s():8.3f} {text}\n")


class Worker(WorkerCore):
    """A worker that guards its capacity, and whose tasks that last start up shortly.

    ``phases`` holds the steps that the callers sent, by job.
    """

    def __init__(self, id: str, address: str, record: Record) -> None:
        super().__init__(id, address, "port-antonio", int(time.time() * 1000))
        self.record = record
        self.cpu, self.memory_mb = CORES_M, MEMORY_MB
        self.labels = ["a", "r1-0"]
        self.phases: dict[str, list[dict]] = {}
        self.is_alive = True
        self.task_duration_s = self._duration_s

    def phase(self, task: str) -> dict:
        """Return the step of a task as its caller sent it."""
        job_id, _, step, _ = task.split(".")
        return self.phases[job_id][int(step)]

    def _duration_s(self, task: str) -> float | None:
        phase = self.phase(task)
        return None if phase.get("longRunning") else phase["estimateMs"] / 1000.0

    async def handle(self, path: str, body: dict, target: str) -> tuple:
        """Answer one call, with the time of the worker's start."""
        status, answer = await super().handle(path, body, target)
        if answer is not None:
            answer["born"] = self.born
        return status, answer

    def _start(self, body: dict) -> tuple:
        key = (body["task"], body["run"])
        if key not in self.running and not self._has_room(key):
            self._extend_lease(body.get("deadlineMs", 0))
            status, answer = self._answer("room")
        else:
            status, answer = super()._start(body)
        reason = answer.get("reason", "")
        self.record.add(f"{self.id} start {key} -> {status} {reason}")
        return status, answer

    def _has_room(self, key: RunKey) -> bool:
        steps = [self.phase(task) for task, _ in [*self.running, key]]
        cpu_m = sum(step["cpu"] for step in steps)
        memory_mb = sum(step["memMb"] for step in steps)
        return cpu_m <= self.cpu and memory_mb <= self.memory_mb

    def _stop(self, body: dict) -> tuple:
        self.record.add(f"{self.id} stop {(body['task'], body['run'])}")
        return super()._stop(body)

    def _end(self, key: RunKey, outcome: str) -> None:
        if self.is_alive and key in self.running:
            self.record.add(f"{self.id} end {key} {outcome}")
            super()._end(key, outcome)

    def fail(self, key: RunKey) -> None:
        """Let a run end as failed."""
        self._end(key, "failed")

    def percent(self, run: WorkerRun) -> int:
        """Return the progress of a run."""
        return self._progress_percent(run)

    def _progress_percent(self, run: WorkerRun) -> int:
        if run.task_duration_s:
            return super()._progress_percent(run)
        worked_s = self._loop.time() - run.started_s
        return min(PERCENT_AT_WORK, int(PERCENT_AT_WORK * worked_s / STARTUP_S))


class Daemon:
    """One daemon: its settings file, its log and its process."""

    def __init__(self, name: str, address: str, directory: Path) -> None:
        self.name = name
        self.address = address
        self.settings = directory / f"{name}.json"
        self.log = directory / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.store = ""

    async def start(self) -> None:
        """Start the process with settings like those of a small deployment."""
        self.settings.write_text(json.dumps(self._settings()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FULMARLEVER_BOOT": str(self.settings),
        }
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=output, stderr=output
            )

    def _settings(self) -> dict:
        return {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.address,
            "zone": "port-antonio",
            "region": "portland",
            "zones": {"port-antonio": "portland"},
            "listenAddrs": {
                "front": f"{self.address}:{CALLER_PORT}",
                "readyAddr": f"{self.address}:{READY_PORT}",
            },
            "portRange": [METRICS_PORT, METRICS_PORT + 15],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "heartbeatMs": 1100,
            "bounds": BOUNDS,
            "controlMode": "call",
            "platform": {"address": self.store, "form": "table", "rowBytes": 65536},
        }

    async def kill(self) -> None:
        """End the process with SIGKILL, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """Daemons, workers, the store and the callers' calls.

    ``accepted`` maps the ids of accepted jobs to their queues; ``begun`` are the ids of
    jobs of which a task has started.
    """

    def __init__(
        self, record: Record, daemons: int, workers: int, directory: Path
    ) -> None:
        prefix = reserve_loopback_prefix()
        self.record = record
        self.network = Network()
        self.server = PlatformServer(self.network)
        self.daemons = [
            Daemon(f"edge-port-antonio-{n}", f"127.{prefix}.1.{n}", directory)
            for n in range(1, daemons + 1)
        ]
        self.workers: dict[str, Worker] = {}
        self.accepted: dict[str, str] = {}
        self.begun: set[str] = set()
        self._worker_count = workers
        self._phases: dict[str, list[dict]] = {}
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Start the platform, the workers and the daemons; wait for readiness."""
        self._session = ClientSession(timeout=ClientTimeout(total=3.0))
        self.network.store.put_json("op", "config", _config())
        for number in range(1, self._worker_count + 1):
            address = await self.server.serve_worker(_served_name(f"w{number}"))
            self._begin(f"w{number}", address)
        for daemon in self.daemons:
            daemon.store = await self.server.serve_store(daemon.name)
            await daemon.start()
        for daemon in self.daemons:
            await self._wait_until_ready(daemon)
        self.record.add("all daemons are ready")

    async def close(self) -> None:
        """End every process that was started, and every server."""
        for daemon in self.daemons:
            await daemon.kill()
        if self._session is not None:
            await self._session.close()
        await self.server.close()

    async def _wait_until_ready(self, daemon: Daemon) -> None:
        url = f"http://{daemon.address}:{READY_PORT}/readiness"
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if daemon.process.returncode is not None:
                    raise RuntimeError(f"{daemon.name} ended: {daemon.log.read_text()}")
                try:
                    async with self._session.get(url) as resp:
                        if resp.status == 200:
                            return
                except (TimeoutError, OSError, ClientError):
                    pass
                await asyncio.sleep(0.1)

    # Workers

    def _begin(self, id: str, address: str, entry_delay_s: float = 0.0) -> None:
        """Begin an incarnation of a worker, which lists itself after a delay."""
        worker = Worker(id, address, self.record)
        worker.phases = self._phases
        worker.on_start = self._record_start
        self.workers[id] = worker
        self.network.workers[_served_name(id)] = worker
        if entry_delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(entry_delay_s, self.list_worker, worker)
        else:
            self.list_worker(worker)
        self.record.add(f"{id} is up at {address}, born {worker.born}")

    def _record_start(self, worker: Worker, key: RunKey) -> None:
        self.begun.add(key[0].split(".")[0])
        self.record.add(f"{worker.id} runs {key}")

    def entry(self, worker: Worker) -> dict:
        """Return a worker's entry, as it writes it itself."""
        return {**worker.entry(), "service": SERVICE}

    def list_worker(self, worker: Worker) -> None:
        """Write a worker's own entry."""
        self.write_entry(worker.id, self.entry(worker))

    def write_entry(self, id: str, entry: dict) -> None:
        """Write an entry into the list of workers."""
        self.record.add(f"servers/{id}: {json.dumps(entry)}")
        self.network.store.put_json("servers", id, entry)

    def unlist_worker(self, id: str) -> None:
        """Remove a worker's entry, as the store does after three heartbeats."""
        self.record.add(f"servers/{id} is removed")
        self.network.store.remove("servers", id)

    def crash(self, id: str, is_dark: bool = False) -> None:
        """End an incarnation of a worker and all that it runs.

        One that is dark answers nothing; the other resets its connections.
        """
        worker = self.workers[id]
        worker.is_alive = False
        for run in worker.running.values():
            if run.timer is not None:
                run.timer.cancel()
        self.record.add(f"{id} crashes with {list(worker.running)}")
        if is_dark:
            self.network.cut("", _served_name(id))
        else:
            del self.network.workers[_served_name(id)]
            self.server.reset_worker(_served_name(id))

    def cut(self, id: str) -> None:
        """Cut a worker off from the daemons; it still reaches the store."""
        self.record.add(f"{id} is cut off")
        self.network.cut("", _served_name(id))

    def heal(self, id: str) -> None:
        """End the cut of a worker."""
        self.record.add(f"{id} is reached again")
        self.network.cuts.discard(("", _served_name(id)))

    def restart(
        self, id: str, entry_delay_s: float = 0.0, stays_cut: bool = False
    ) -> None:
        """Start a worker again under its id and address."""
        if not stays_cut:
            self.network.cuts.discard(("", _served_name(id)))
        self._begin(id, self.workers[id].address, entry_delay_s)

    # Daemons

    def owner(self) -> Daemon | None:
        """Return the daemon that the row of the scheduler's lease names, if any."""
        value = self.network.store.value(LEASE_TABLE, LEASE_KEY) or b""
        row = unpack_lease(lease_row(value))
        vm = "" if failed(row) else row.vm
        return next((daemon for daemon in self.daemons if daemon.name == vm), None)

    # Callers

    async def call(
        self,
        method: str,
        queue: str,
        job_id: str,
        daemon: Daemon,
        body: dict | None = None,
    ) -> tuple:
        """Make one call of a caller; return its status, None if none, and its body."""
        url = f"http://{daemon.address}:{CALLER_PORT}/{queue}/{job_id}"
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        request = self._session.request(method, url, headers=headers, json=body)
        try:
            async with request as resp:
                answer = resp.status, await resp.json()
        except (TimeoutError, OSError, ClientError, ValueError) as exc:
            answer = None, repr(exc)
        self.record.add(f"{method} {queue}/{job_id} at {daemon.name} -> {answer}")
        return answer

    async def submit(
        self, queue: str, job_id: str, phases: list[dict], daemon: Daemon | None = None
    ) -> None:
        """Hand a job in until it is accepted; raise ``RuntimeError`` if it is not."""
        body = {"spec": f"spec of {job_id}", "phases": phases}
        self._phases[job_id] = phases
        self.record.add(f"send {queue}/{job_id} {json.dumps(body)}")
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = await self.call(
                "POST", queue, job_id, daemon or self.daemons[0], body
            )
            if status == 200:
                self.accepted[job_id] = queue
                return
            await asyncio.sleep(0.5)
        raise RuntimeError(f"job {job_id} was not accepted")

    async def state(self, job_id: str) -> object:
        """Return the state of an accepted job, or the status if it is not 200."""
        status, answer = await self.call(
            "GET", self.accepted[job_id], job_id, self.daemons[0]
        )
        return answer["state"] if status == 200 else status


class AvailabilityCheck:
    """Judges each stop of a job's task by which other tasks of its step are away.

    The job has one step of ``tasks`` tasks that last, of which ``may_miss`` may be
    away: ended by an order, or not at work for ``noticeMs``. ``at_work_s`` is when each
    task was last at work, ``broken`` lists the stops that broke the rule.
    """

    def __init__(
        self, deployment: Deployment, job: str, tasks: int, may_miss: int
    ) -> None:
        self.broken: list[str] = []
        self.at_work_s: dict[str, float] = {}
        self._deployment = deployment
        self._names = [f"{job}.0.0.{number}" for number in range(tasks)]
        self._may_miss = may_miss
        # Tasks that an order ended and that have not been at work since.
        self._ended_by_order: set[str] = set()
        self._stopped_runs: set[RunKey] = set()
        for worker in deployment.workers.values():
            self._watch(worker)

    def _watch(self, worker: Worker) -> None:
        stop = worker._stop

        def judge_and_stop(body: dict) -> tuple:
            self._judge_stop(worker, body)
            return stop(body)

        worker._stop = judge_and_stop

    async def observe_for(self, seconds: float) -> None:
        """Note again and again which tasks are at work."""
        until_s = self._deployment.record.now_s() + seconds
        while self._deployment.record.now_s() < until_s:
            self._observe()
            await asyncio.sleep(0.02)

    def _observe(self) -> None:
        now_s = self._deployment.record.now_s()
        for worker in self._deployment.workers.values():
            if not worker.is_alive:
                continue
            for (task, number), run in worker.running.items():
                is_stopping = (task, number) in self._stopped_runs
                if worker.percent(run) == PERCENT_AT_WORK and not is_stopping:
                    self.at_work_s[task] = now_s
                    self._ended_by_order.discard(task)

    def _judge_stop(self, worker: Worker, body: dict) -> None:
        """Judge a stop before it is carried out."""
        task = body["task"]
        run = worker.running.get((task, body["run"]))
        if task not in self._names or run is None:
            return
        if worker.percent(run) < PERCENT_AT_WORK:
            return
        self._observe()
        away = [name for name in self._names if name != task and self._is_away(name)]
        self._ended_by_order.add(task)
        self._stopped_runs.add((task, body["run"]))
        record = self._deployment.record
        record.add(f"an order ends {task} at work on {worker.id}, away: {away}")
        if len(away) >= self._may_miss:
            last_s = [round(self.at_work_s.get(name, 0.0), 3) for name in away]
            self.broken.append(
                f"AVAIL at {record.now_s():.3f}: an order ends {task}, which is at "
                f"work on {worker.id}, while {away} are away, last at work at "
                f"{last_s}; mayMiss is {self._may_miss}"
            )

    def _is_away(self, task: str) -> bool:
        idle_s = self._deployment.record.now_s() - self.at_work_s.get(task, 0.0)
        return task in self._ended_by_order or idle_s >= BOUNDS["noticeMs"] / 1000.0


Scenario = Callable[[Deployment], Awaitable[list[str]]]


def run_case(
    script: str,
    scenario: Scenario,
    daemons: int,
    workers: int,
    limit_s: float = 110.0,
) -> None:
    """Play a scenario, print its verdict and exit with its code.

    The scenario returns the broken rules that it saw. The record goes into the folder
    of the script; with ``KEEP_LOGS`` the daemons' logs go into that folder.
    """

    async def play() -> list[str]:
        record = Record(Path(script).resolve().parent / "record.txt")
        record.add(f"TROUBLE={int(HAS_TROUBLE)}")
        with tempfile.TemporaryDirectory() as directory:
            deployment = Deployment(record, daemons, workers, Path(directory))
            try:
                async with asyncio.timeout(limit_s):
                    await deployment.start()
                    broken = await scenario(deployment)
            finally:
                await deployment.close()
                _keep_logs(deployment)
        for line in broken:
            record.add(f"BROKEN {line}")
        record.add(f"verdict: {'broken' if broken else 'held'}")
        return broken

    signal.signal(signal.SIGTERM, _end_early)
    try:
        broken = asyncio.run(play())
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        sys.exit(EXIT_NOT_RUN)
    for line in broken:
        print(f"BROKEN {line}")
    print("broken" if broken else "held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)


def _end_early(number: int, frame: object) -> None:
    """End the script; the processes that it started end with it."""
    sys.exit(EXIT_NOT_RUN)


def _keep_logs(deployment: Deployment) -> None:
    folder = os.environ.get("KEEP_LOGS")
    if not folder:
        return
    for daemon in deployment.daemons:
        if daemon.log.exists():
            Path(folder, daemon.log.name).write_text(daemon.log.read_text())


def _served_name(id: str) -> str:
    """Return the name by which the stand-in of the network knows a worker."""
    return f"worker-{id[1:]}"


def _config() -> dict:
    routes = [
        {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "service": SERVICE,
            "priority": priority,
            "maxAttempts": attempts,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
            "timeoutMs": 3000,
        }
        for name, priority, attempts in QUEUES
    ]
    services = [{"name": SERVICE, "admissionCheck": True}]
    return {"version": 7, "routes": routes, "services": services, "limits": {}}
