"""A demonstration on two zones: requests to services, batch jobs and checks."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import yaml

from fulmarlever_standins.caller import Caller, CallerRequest, CallerResult, Reply
from fulmarlever_standins.client import wait_for
from fulmarlever_standins.cluster import BackendTotals, Cluster
from fulmarlever_standins.invariants import find_violations
from fulmarlever_standins.operator import Operator
from fulmarlever_standins.processes import ProcessError
from fulmarlever_standins.readiness import wait_for_answers, wait_for_servers
from fulmarlever_standins.topology import EntryVM

ZONES = 2
ENTRIES_PER_ZONE = 2
WORKERS_PER_ZONE = 4
ROUNDS_PER_SERVICE = 12
BATCH_LIMIT_S = 30.0
MAX_ATTEMPTS = 5
HTTP_CONFLICT = 409
TIMELINE_EVENTS = "200"


class Demo:
    """The steps of the demonstration and the failures of its checks.

    ``path`` is a configuration file with at least two zones.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.config = yaml.safe_load(path.read_text(encoding="utf-8"))
        self.jobs = dict(self.config["jobs"])
        self.zones = self.config["zones"][:ZONES]
        self.cluster = Cluster.from_zones(
            self.zones, entries=ENTRIES_PER_ZONE, workers=WORKERS_PER_ZONE
        )
        self.operator = Operator(self.cluster)
        self.failures: list[str] = []
        self._started = time.monotonic()

    async def run(self) -> int:
        """Run every step, stop the cluster and return 0, or 1 after a failed check."""
        try:
            await self._run_steps()
        except ProcessError as exc:
            self.failures.append(str(exc))
            print(self.cluster.log_tails())
        finally:
            await self._stop()
        for failure in self.failures:
            print(f"failed check: {failure}")
        print("the demonstration failed" if self.failures else "all checks passed")
        return 1 if self.failures else 0

    async def _run_steps(self) -> None:
        await self._start()
        await self._apply()
        await self._wait_for_servers()
        results = await self._send_requests()
        await self._submit()
        records = await self._wait_for_jobs()
        totals = await self.cluster.backend_totals()
        self._print_servers_by_entry(results, totals)
        self._check_requests(results, totals)
        self._check_jobs(records)
        await self._print_timeline()

    async def _start(self) -> None:
        entries = len(self.cluster.topology.entries)
        workers = len(self.cluster.topology.workers)
        zones = " and ".join(self.zones)
        self._print_step(
            f"starting a platform, {workers} workers, {entries} daemons: {zones}"
        )
        await self.cluster.start()
        for vm in self.cluster.topology.entries:
            pid = self.cluster.processes[vm.name].pid
            print(f"  {vm.name} is ready, callers {vm.caller_address}, process {pid}")

    async def _apply(self) -> None:
        self._print_step(f"fulmarlever apply {self.path}")
        print(_indent(await self.operator.check_output("apply", str(self.path))))
        self._print_step("waiting until every daemon has the generation")
        arguments = ("status", "--wait-generation", "1")
        print(_indent(await self.operator.check_output(*arguments)))

    async def _wait_for_servers(self) -> None:
        wanted = sum(s["instances"] for s in self.config["services"].values())
        self._print_step(
            f"waiting for {wanted} backend servers and answers through all entry VMs"
        )
        await wait_for_servers(self.cluster, wanted)
        entries = self.cluster.topology.entries
        async with Caller() as caller:
            await wait_for_answers(caller, entries, self.config["services"])
        print(_indent(await self.operator.check_output("services")))

    async def _send_requests(self) -> list[CallerResult]:
        entries = self.cluster.topology.entries
        requests = list(self._requests())
        self._print_step(
            f"sending {len(requests)} requests through {len(entries)} entry VMs"
        )
        async with Caller() as caller:
            results = []
            for number, request in enumerate(requests):
                # The repetition of a request goes through another entry VM.
                vm = entries[number % len(entries)]
                results.append(await self._send(caller, request, vm))
        return results

    async def _send(
        self, caller: Caller, request: CallerRequest, vm: EntryVM
    ) -> CallerResult:
        """Send a request and retry it while another one with its key is in progress."""
        for _ in range(MAX_ATTEMPTS):
            result = await caller.send(request, vm.name, vm.caller_address)
            if result.status != HTTP_CONFLICT:
                break
            await asyncio.sleep(float(result.retry_after or 1))
        return result

    def _requests(self) -> Iterator[CallerRequest]:
        for service in self.config["services"]:
            for number in range(ROUNDS_PER_SERVICE):
                yield CallerRequest(f"get-{number}", service, work_ms=2)
                order = CallerRequest(
                    f"order-{number}",
                    service,
                    method="POST",
                    path="orders",
                    body=f"order {number}".encode(),
                    key=f"order-key-{number}",
                    work_ms=2,
                    answer_bytes=2048,
                )
                yield order
                yield order

    async def _submit(self) -> None:
        """Submit a copy of the first job of the file under another name."""
        first = next(iter(self.jobs))
        name = f"{first}-again"
        self.jobs[name] = self.jobs[first]
        path = self.cluster.directory / "submitted.yaml"
        path.write_text(yaml.safe_dump({"jobs": {name: self.jobs[name]}}))
        self._print_step(f"fulmarlever submit: {name}, a copy of {first}")
        print(_indent(await self.operator.check_output("submit", str(path))))

    async def _wait_for_jobs(self) -> dict[str, dict]:
        jobs = {name: job.get("tasks", 1) for name, job in self.jobs.items()}
        self._print_step(f"waiting for the end of {jobs}")
        await wait_for(
            lambda: self._are_jobs_done(jobs), "the end of the jobs", BATCH_LIMIT_S
        )
        print(_indent(await self.operator.check_output("jobs")))
        records = await self.cluster.worker_records()
        for worker, run in _batch_runs(records):
            seconds = (run["end"] or time.time()) - run["start"]
            print(
                f"  {run['task']} attempt {run['attempt']} on {worker}:"
                f" {run['state']} after {seconds:.1f} s"
            )
        return records

    async def _are_jobs_done(self, jobs: dict[str, int]) -> bool:
        listing = (await self.operator.read_json("jobs"))["jobs"]
        done = {job["name"] for job in listing if job["state"] == "done"}
        return done >= set(jobs)

    def _print_servers_by_entry(
        self, results: list[CallerResult], totals: BackendTotals
    ) -> None:
        self._print_step("requests by entry VM and backend server")
        servers = {
            request_id: server
            for server, record in totals.by_server.items()
            for request_id in record["runs"]
        }
        pairs = Counter(
            (r.entry, servers.get(r.request.request_id, "nobody")) for r in results
        )
        for (entry, server), count in sorted(pairs.items()):
            print(f"  {entry}: {count} answered by {server}")

    def _check_requests(
        self, results: list[CallerResult], totals: BackendTotals
    ) -> None:
        self.failures += find_violations(results, totals)
        for result in results:
            if result.reply is not Reply.SERVED:
                self.failures.append(
                    f"{result.request.request_id} through {result.entry}:"
                    f" {result.reply} {result.status} {result.detail}"
                )
        entries = {result.entry for result in results if result.reply is Reply.SERVED}
        if len(entries) < len(self.cluster.topology.entries):
            self.failures.append(f"only {sorted(entries)} served requests")

    def _check_jobs(self, records: dict[str, dict]) -> None:
        runs = Counter(
            run["task"] for _, run in _batch_runs(records) if run["state"] == "done"
        )
        starts = Counter(run["task"] for _, run in _batch_runs(records))
        for name, job in self.jobs.items():
            for index in range(job.get("tasks", 1)):
                task = f"{name}/{index}"
                if (runs[task], starts[task]) != (1, 1):
                    self.failures.append(
                        f"{task} was started {starts[task]} times"
                        f" and ended {runs[task]} times"
                    )

    async def _print_timeline(self) -> None:
        self._print_step("the merged timeline")
        text = await self.operator.check_output("timeline", "--limit", TIMELINE_EVENTS)
        print(_indent(text))
        for vm in self.cluster.topology.entries:
            if vm.name not in text:
                self.failures.append(f"no event of {vm.name} in the timeline")

    async def _stop(self) -> None:
        self._print_step("stopping all processes gracefully")
        codes = await self.cluster.close()
        for name, code in codes.items():
            if code != 0:
                self.failures.append(f"{name} ended with exit code {code}")
        print(f"  {len(codes)} processes ended")

    def _print_step(self, text: str) -> None:
        print(f"[{time.monotonic() - self._started:5.1f} s] {text}", flush=True)


def _batch_runs(records: dict[str, dict]) -> Iterator[tuple[str, dict]]:
    for worker, record in sorted(records.items()):
        for run in record["runs"]:
            if run["task"] not in record["services"]:
                yield worker, run


def _indent(text: str) -> str:
    return "\n".join(f"  {line}" for line in text.rstrip().splitlines())
