"""A stand-in for the network: calls within one process, with injected faults."""

from __future__ import annotations

import asyncio
import json
import random
from collections import defaultdict
from collections.abc import Container, Iterable
from types import ModuleType

from fulmarlever.outcomes import OutcomeUnknown, Unavailable, failed
from fulmarlever_standins.authority.admission import (
    ADMISSION_ADDRESS,
    AdmissionCore,
)
from fulmarlever_standins.authority.processor import Processor, SimulatedLoopDelay
from fulmarlever_standins.authority.store import StoreCore
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarleverd.platform.connection import RawResponse
from fulmarleverd.platform.http import (
    CallResult,
    OtherPeer,
    PeerCheck,
    Response,
    encode_request,
)
from fulmarleverd.scheduling.persistence.rows import JOBS_TABLE

STORE_ADDRESS = "store:1"
ONE_WAY_LATENCY_S = 0.001
LATE_EFFECT_DELAY_S = 3.0
START_PATH = "/run-start"
LEASE_PATH = "/hold"
# The paths of all calls to workers.
WORKER_PATHS = (START_PATH, "/run-stop", LEASE_PATH, "/pace")
# TCP sends a lost packet again after this time, then after twice as long each time.
RETRANSMISSION_S = 0.2

# A generator of random numbers, or the module with the global one.
Rng = random.Random | ModuleType


class LateCalls:
    """Calls to workers that are left unanswered and carried out late.

    ``delays_s`` holds, for each of the next calls on one of the ``paths``, after how
    many seconds it arrives. Without ``addresses``, calls to all workers are meant.
    """

    __slots__ = ("delays_s", "paths", "addresses")

    def __init__(
        self,
        delays_s: Iterable[float],
        paths: Container[str] = WORKER_PATHS,
        addresses: Container[str] = (),
    ) -> None:
        self.delays_s = list(delays_s)
        self.paths = paths
        self.addresses = addresses

    def take_delay_s(self, address: str, path: str) -> float | None:
        """Return how late a call arrives, ``None`` if it is not one of the calls."""
        is_meant = not self.addresses or address in self.addresses
        if not (is_meant and path in self.paths and self.delays_s):
            return None
        return self.delays_s.pop(0)


class Network:
    """The connections of VMs to the store, the admission service and the workers.

    Faults are set as attributes:

    * ``cuts``: pairs of a VM and an address; calls between them never return.
    * ``refused_vms``: the store answers 503 to these VMs.
    * ``is_store_down``: calls to the store never return.
    * ``lose_answers``: how many of the next transactions take effect unanswered.
    * ``late_transactions``: how many of the next transactions take effect
      ``LATE_EFFECT_DELAY_S`` later and unanswered.
    * ``late_jobs``: the ids of jobs whose submissions take effect late and unanswered,
      each with the seconds.
    * ``late_rows``: for tables, how late each of the next transactions that write to
      them take effect, unanswered, in seconds.
    * ``late_calls``: calls to workers that take effect late, unanswered. Each is
      carried out by the worker that lives at its address when it arrives, if any.
    * ``late_starts``: how many of the next starts of runs are such calls,
      ``LATE_EFFECT_DELAY_S`` late.
    * ``lost_answers``: pairs of a VM and a worker's address; calls between them take
      effect and never return.
    * ``resets``: the same; these calls end with a reset of their connection.
    * ``loss``: the probability that a request or an answer is lost once and sent again.
    * ``transaction_s``: seconds that each transaction takes; the transactions of one
      partition run one after the other.

    ``start_delay_s`` is how late the start is that a worker carries out at this moment,
    0 if it is not among the ``late_calls``. ``unanswered_s`` is when the store last
    left a transaction without an answer, or carried one out late.
    """

    def __init__(self) -> None:
        self.store = StoreCore()
        self.admission = AdmissionCore()
        self.workers: dict[str, WorkerCore] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.refused_vms: set[str] = set()
        self.lose_answers = 0
        self.late_transactions = 0
        self.late_jobs: dict[str, float] = {}
        self.late_rows: dict[str, list[float]] = {}
        self.late_calls: list[LateCalls] = []
        self.late_starts = 0
        self.lost_answers: set[tuple[str, str]] = set()
        self.resets: set[tuple[str, str]] = set()
        self.is_store_down = False
        self.loss = 0.0
        self.transaction_s = 0.0
        self.start_delay_s = 0.0
        self.unanswered_s = 0.0
        self._partition_locks: defaultdict[str, asyncio.Lock] = defaultdict(
            asyncio.Lock
        )
        self._late_tasks: set[asyncio.Task] = set()

    def add_worker(self, worker: WorkerCore) -> None:
        """Make a worker reachable and write its entry to the store."""
        self.workers[worker.address] = worker
        self.store.put_json("servers", worker.id, worker.entry())

    def cut(self, vm: str, *addresses: str) -> None:
        """Block all calls of a VM to the given addresses."""
        self.cuts.update((vm, address) for address in addresses)

    def heal(self) -> None:
        """Unblock all calls."""
        self.cuts.clear()

    def client(
        self,
        vm: str,
        delay: SimulatedLoopDelay | None = None,
        rng: Rng = random,
    ) -> NetworkClient:
        """Return the HTTP client of a VM, by default one whose work takes no time.

        Losses of its calls are drawn from ``rng``, by default the global generator.
        """
        delay = delay or SimulatedLoopDelay(Processor())
        return NetworkClient(self, vm, delay, rng)

    async def call(
        self,
        vm: str,
        method: str,
        address: str,
        path: str,
        body: dict | None,
        target: str,
        rng: Rng = random,
        peer: WorkerCore | None = None,
    ) -> CallResult:
        """Make one call and return its result.

        ``target`` is the id of the worker that the caller means. A call that is blocked
        or whose answer is lost never returns. Losses are drawn from ``rng``. ``peer``
        is the worker that the call's connection leads to, if it is not a new one; the
        connection ends with it.
        """
        await self._transmit(rng)
        if (vm, address) in self.cuts or (
            address == STORE_ADDRESS and self.is_store_down
        ):
            await asyncio.Event().wait()
        if address == STORE_ADDRESS:
            return await self._call_store(vm, method, path, body, rng)
        if address == ADMISSION_ADDRESS:
            return Response(*await self.admission.handle(body))
        if peer is not None and self.workers.get(address) is not peer:
            return OutcomeUnknown("connection lost before the answer")
        answer = await self._call_worker(address, path, body, target, rng)
        if (vm, address) in self.lost_answers | self.cuts:
            await asyncio.Event().wait()
        is_reset = (vm, address) in self.resets
        return OutcomeUnknown("connection reset") if is_reset else answer

    async def _transmit(self, rng: Rng) -> None:
        """Wait until a request or an answer has crossed the network."""
        delay_s = ONE_WAY_LATENCY_S
        retransmission_s = RETRANSMISSION_S
        while rng.random() < self.loss:
            delay_s += retransmission_s
            retransmission_s *= 2
        await asyncio.sleep(delay_s)

    async def _call_store(
        self, vm: str, method: str, path: str, body: dict | None, rng: Rng
    ) -> CallResult:
        if vm in self.refused_vms:
            return Response(503, None)
        is_write = path == "/rows-tx"
        if is_write and self.late_transactions > 0:
            self.late_transactions -= 1
            self._record_unanswered()
            self._run_later(self._handle_late(method, path, body))
            await asyncio.Event().wait()
        if is_write and (late_s := self._find_late_s(body)) is not None:
            self._record_unanswered()
            self._run_later(self._handle_late(method, path, body), late_s)
            await asyncio.Event().wait()
        if is_write:
            await self._wait_for_partition(body)
        status, answer = await self.store.handle(method, path, body)
        if is_write and self.lose_answers > 0:
            self.lose_answers -= 1
            self._record_unanswered()
            await asyncio.Event().wait()
        await self._transmit(rng)
        return Response(status, answer)

    async def _handle_late(self, method: str, path: str, body: dict) -> None:
        await self.store.handle(method, path, body)
        self._record_unanswered()

    def _record_unanswered(self) -> None:
        self.unanswered_s = asyncio.get_running_loop().time()

    async def _wait_for_partition(self, body: dict) -> None:
        """Wait for earlier transactions of the partition, then ``transaction_s``."""
        if self.transaction_s:
            async with self._partition_locks[body["setKeys"][0]["part"]]:
                await asyncio.sleep(self.transaction_s)

    async def _call_worker(
        self, address: str, path: str, body: dict, target: str, rng: Rng
    ) -> CallResult:
        worker = self.workers.get(address)
        if worker is None:
            return Unavailable("connection refused")
        if path == START_PATH and self.late_starts > 0:
            self.late_starts -= 1
            self._run_later(self._deliver(address, path, body, target))
            await asyncio.Event().wait()
        if (late_s := self._take_late_s(address, path)) is not None:
            work = self._deliver(address, path, body, target, late_s)
            self._run_later(work, late_s)
            await asyncio.Event().wait()
        status, answer = await worker.handle(path, body, target)
        if self.workers.get(address) is not worker:
            return OutcomeUnknown("the worker crashed before it answered")
        await self._transmit(rng)
        return Response(status, answer)

    def _take_late_s(self, address: str, path: str) -> float | None:
        """Return how late a call arrives, ``None`` if no ``late_calls`` name it."""
        delays_s = (calls.take_delay_s(address, path) for calls in self.late_calls)
        return next((delay_s for delay_s in delays_s if delay_s is not None), None)

    async def _deliver(
        self, address: str, path: str, body: dict, target: str, late_s: float = 0.0
    ) -> None:
        """Let the worker that lives at an address now carry out a late call."""
        worker = self.workers.get(address)
        if worker is None:
            return
        # Starts are carried out without a wait, so no other call is mistaken for one.
        self.start_delay_s = late_s if path == START_PATH else 0.0
        try:
            await worker.handle(path, body, target)
        finally:
            self.start_delay_s = 0.0

    def _find_late_s(self, body: dict) -> float | None:
        """Return how late a transaction is that stores a late job or a late row."""
        keys = [row["key"] for row in body["setKeys"] if row["table"] == JOBS_TABLE]
        late = [key for key in keys if key in self.late_jobs]
        if late:
            return self.late_jobs[late[0]]
        delays_s = (self.late_rows.get(row["table"]) for row in body["setKeys"])
        return next((delay_s.pop() for delay_s in delays_s if delay_s), None)

    def _run_later(self, work: object, late_s: float = LATE_EFFECT_DELAY_S) -> None:
        async def wait_and_run() -> None:
            await asyncio.sleep(late_s)
            await work

        task = asyncio.get_running_loop().create_task(wait_and_run())
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)


class NetworkClient:
    """The HTTP client of one VM, with calls over a ``Network``.

    The processor of the VM sends the calls and reads their answers one by one. Time
    limits exclude the wait for it if the delay of the event loop is measured.
    """

    __slots__ = ("_network", "_vm", "_delay", "_rng", "_peers")

    def __init__(
        self, network: Network, vm: str, delay: SimulatedLoopDelay, rng: Rng = random
    ) -> None:
        self._network = network
        self._vm = vm
        self._delay = delay
        self._rng = rng
        # The workers that the connections lead to, by address.
        self._peers: dict[str, WorkerCore] = {}

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        body: dict | None = None,
        headers: dict[str, str] | None = None,
        check: PeerCheck | None = None,
    ) -> CallResult:
        """Make one call and return its result.

        Return ``OutcomeUnknown`` if no answer arrives within ``timeout_s`` seconds. See
        ``HTTPClient.call`` for ``check``.
        """
        request = encode_request(method, address, path, body, headers or {})
        if failed(request):
            return request
        target = (headers or {}).get("X-Target-Instance", "")
        processor = self._delay.processor
        excludes_delay = self._delay.is_measured
        try:
            async with asyncio.timeout(None if excludes_delay else timeout_s) as limit:
                await processor.work()
                if excludes_delay:
                    limit.reschedule(asyncio.get_running_loop().time() + timeout_s)
                if check is not None:
                    result = await self._check_peer(address, target, check)
                    if result is not None:
                        return result
                answer = await self._network.call(
                    *(self._vm, method, address, path, body, target, self._rng),
                    peer=self._peers[address] if check is not None else None,
                )
                if excludes_delay:
                    limit.reschedule(None)
                await processor.work()
                return answer
        except TimeoutError:
            return OutcomeUnknown("no answer")

    async def _check_peer(
        self, address: str, target: str, check: PeerCheck
    ) -> CallResult | None:
        """Return None if the connection leads to the expected worker.

        Otherwise return the result of the call. A connection ends with its worker, so
        another one is opened to the next worker at the address.
        """
        worker = self._network.workers.get(address)
        if worker is not None and self._peers.get(address) is worker:
            is_expected = str(worker.born) == check.expected
            return None if is_expected else OtherPeer(str(worker.born))
        self._peers.pop(address, None)
        response = await self._network.call(
            self._vm, "POST", address, check.path, check.body, target, self._rng
        )
        if failed(response):
            return Unavailable(f"no answer to a check: {response.reason}")
        raw = RawResponse(response.status, json.dumps(response.body).encode())
        peer = check.find_peer(raw)
        if not peer:
            return response
        if worker is not None and str(worker.born) == peer:
            self._peers[address] = worker
        if peer != check.expected:
            return OtherPeer(peer)
        return None if address in self._peers else Unavailable("connection lost")
