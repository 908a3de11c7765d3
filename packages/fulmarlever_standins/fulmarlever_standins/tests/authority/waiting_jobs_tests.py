"""The number of waiting jobs that daemons give, whatever happens to the owners."""

from __future__ import annotations

import asyncio
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from loguru import logger as log

from fulmarlever.outcomes import failed
from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.authority.network import STORE_ADDRESS, Network
from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    PLANS_QUEUE,
    Daemon,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.authority.virtual_time import VirtualClock, run_virtual
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.platform.store import AuthorityStore
from fulmarleverd.scheduling.persistence.rows import (
    JOB_PARTITIONS,
    SUMMARY_KEY,
    SUMMARY_TABLE,
    JobRow,
    cancel_row,
    job_row,
    pack,
    pack_job,
    progress_row,
)
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.published.job_changes import MAX_LOOKUPS
from fulmarleverd.scheduling.published.publication import Publication
from fulmarleverd.scheduling.published.waiting_jobs import WaitingJobs
from fulmarleverd.scheduling.published.waiting_jobs_reader import (
    KEPT_S,
    MAX_AGE_S,
    Source,
    WaitingJobsReader,
)
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.submission.intake import Intake

# No worker has room for it, so it waits.
TOO_WIDE = StepSpec(count=1, cpu_m=64_000, memory_mb=100, estimate_s=0.5)
QUEUES = (LABELS_QUEUE, PLANS_QUEUE)
BEFORE_KEPT_S = 0.9 * KEPT_S[Source.PUBLISHED]

ROW = (SUMMARY_TABLE, SUMMARY_KEY)
PARTITIONS = len(JOB_PARTITIONS)


class Jobs:
    """Rows of jobs in a store, and an owner that publishes what waits.

    ``begun``, ``cancelled`` and ``accepted`` are the naive version of the number.
    """

    def __init__(self, network: Network) -> None:
        self.store = network.store
        self.accepted: dict[str, str] = {}
        self.cancelled: set[str] = set()
        self.begun: set[str] = set()

    def put(self, row: StoredRow) -> None:
        self.store.put(row.table, row.key, row.value, row.partition)

    def accept(self, queue: int) -> None:
        spec = job(f"j{len(self.accepted)}")
        value = pack_job(JobRow(spec, QUEUES[queue], 1.0))
        self.put(job_row(spec.id, value))
        self.accepted[spec.id] = QUEUES[queue].name

    def cancel(self, number: int) -> None:
        if number < len(self.accepted):
            job_id = list(self.accepted)[number]
            self.put(cancel_row(job_id))
            self.cancelled.add(job_id)

    def begin(self, number: int) -> None:
        """Let a job begin; the owner publishes with the same commit."""
        if number < len(self.accepted):
            job_id = list(self.accepted)[number]
            if job_id not in self.cancelled:
                self.begun.add(job_id)
                self.put(progress_row(job_id, pack(["running", True, "", [], []])))
            self.publish()

    def waiting(self) -> Counter:
        return Counter(
            queue
            for job_id, queue in self.accepted.items()
            if job_id not in self.begun | self.cancelled
        )

    def publish(self) -> None:
        now_s = asyncio.get_running_loop().time()
        waiting = WaitingJobs(dict(self.waiting()), self.store.version)
        row = Publication("vm-1", 7, now_s, waiting.pack()).to_row(SUMMARY_KEY)
        self.put(row)


def reader(network: Network) -> WaitingJobsReader:
    store = AuthorityStore(STORE_ADDRESS, network.client("vm-2"))
    return WaitingJobsReader(store, VirtualClock())


STEPS = st.one_of(
    st.tuples(st.just("accept"), st.integers(0, 1)),
    st.tuples(st.just("cancel"), st.integers(0, 9)),
    st.tuples(st.just("begin"), st.integers(0, 9)),
    st.tuples(st.sampled_from(["publish", "drop history", "new reader"])),
    st.tuples(st.just("spoil"), st.sampled_from([b"", b"\xc1", pack({"labels": 9})])),
    st.tuples(st.just("ask"), st.sampled_from([0.0, 1.0, 2.5])),
)


class ReaderTests(TableTestCase):
    def setUp(self):
        log.remove()

    @given(st.lists(STEPS, max_size=30))
    def test_the_number_is_that_of_a_naive_count(self, steps):
        async def scenario():
            network = Network()
            jobs = Jobs(network)
            found = reader(network)
            for name, *args in [*steps, ("ask", 2.5)]:
                if name == "drop history":
                    network.store.drop_history()
                elif name == "new reader":
                    found = reader(network)
                elif name == "spoil":
                    network.store.put(SUMMARY_TABLE, SUMMARY_KEY, args[0])
                elif name != "ask":
                    getattr(jobs, name)(*args)
                else:
                    # Longer than a number is kept, so it has to be right now.
                    await asyncio.sleep(args[0] + MAX_AGE_S)
                    expected = jobs.waiting()
                    for queue in QUEUES:
                        number = await found.find(queue.name)
                        self.assertEqual(number, expected[queue.name])

        run_virtual(scenario())

    def test_an_old_number_is_never_given(self):
        # Load: owners publish at random intervals, and this daemon is asked at times.
        async def scenario():
            network = Network()
            jobs = Jobs(network)
            found = reader(network)
            for number in range(200):
                jobs.accept(0)
                if number % 40 < 10:
                    jobs.publish()
                await asyncio.sleep(0.1)
                if number % 7 == 0:
                    # At most that of all which were accepted 2 s ago and longer.
                    given_number = await found.find(LABELS_QUEUE.name)
                    self.assertGreaterEqual(given_number, number - MAX_AGE_S / 0.1)

        run_virtual(scenario())

    def test_a_store_that_does_not_answer_gives_no_number(self):
        async def scenario():
            network = Network()
            Jobs(network).publish()
            found = reader(network)
            self.assertEqual(await found.find("labels"), 0)
            network.refused_vms.add("vm-2")
            await asyncio.sleep(BEFORE_KEPT_S)
            self.assertEqual(await found.find("labels"), 0)
            await asyncio.sleep(BEFORE_KEPT_S)
            self.assertTrue(failed(await found.find("labels")))

        run_virtual(scenario())

    # Guards against a row that gets callers a 500.
    def test_rows_that_cannot_be_decoded_are_counted_around(self):
        bad = Publication("vm-1", 7, 0.0, pack([{"labels": []}, 1]))
        rows = (
            ("not msgpack", b"\xc1"),
            ("a list", pack([1])),
            ("of an earlier version", pack({"labels": 7})),
            ("numbers of another type", bad.to_row(SUMMARY_KEY).value),
        )
        for _, value in self.each(rows):

            async def scenario(value=value):
                network = Network()
                Jobs(network).accept(0)
                network.store.put(SUMMARY_TABLE, SUMMARY_KEY, value)
                return await reader(network).find(LABELS_QUEUE.name)

            self.assertEqual(run_virtual(scenario()), 1)

    def test_an_answer_that_comes_too_late_gives_no_number(self):
        async def scenario(slow_s):
            network = Network()
            jobs = Jobs(network)
            jobs.accept(0)
            jobs.publish()
            answer = network.store.handle

            async def answer_late(method: str, url: str, body: dict | None) -> tuple:
                found = await answer(method, url, body)
                await asyncio.sleep(slow_s)
                return found

            network.store.handle = answer_late
            await asyncio.sleep(1.0)
            return await reader(network).find(LABELS_QUEUE.name)

        self.assertEqual(run_virtual(scenario(0.5)), 1)
        self.assertTrue(failed(run_virtual(scenario(1.1))))

    def test_a_caller_that_goes_away_does_not_end_the_refresh_of_others(self):
        async def scenario():
            network = Network()
            Jobs(network).accept(0)
            found = reader(network)
            asked = [asyncio.ensure_future(found.find("labels")) for _ in range(3)]
            await asyncio.sleep(0.0)
            asked[0].cancel()
            self.assertEqual(await asyncio.gather(*asked[1:]), [1, 1])

        run_virtual(scenario())

    # Jobs, callers that ask at the same time, and the most calls that they may cost.
    COSTS = (
        ("published", 3000, 500, lambda jobs: None, 1),
        ("an old row", 3000, 500, lambda jobs: jobs.accept(0), 2),
        ("no row", 3000, 500, lambda jobs: jobs.store.remove(*ROW), 3 + PARTITIONS),
        (
            "no history",
            3000,
            500,
            lambda jobs: jobs.store.drop_history(),
            5 + PARTITIONS,
        ),
        (
            "many cancellations",
            3000,
            500,
            lambda jobs: [jobs.cancel(number) for number in range(1000)],
            2 + 2 * MAX_LOOKUPS,
        ),
    )

    def test_many_callers_and_jobs_cost_few_calls(self):
        for name, count, callers, change, most in self.each(self.COSTS):

            async def scenario(name=name, count=count, callers=callers, change=change):
                network = Network()
                jobs = Jobs(network)
                for _ in range(count):
                    jobs.accept(0)
                jobs.publish()
                if name != "published":
                    await asyncio.sleep(MAX_AGE_S)
                change(jobs)
                found = reader(network)
                before = network.store.calls
                asked = (found.find("labels") for _ in range(callers))
                await asyncio.gather(*asked)
                return network.store.calls - before

            self.assertLessEqual(run_virtual(scenario()), most)


async def kill(cluster: SimulatedCluster, owner: Daemon) -> None:
    del cluster.daemons[owner.vm]
    await owner.kill()


async def cut(cluster: SimulatedCluster, owner: Daemon) -> None:
    cluster.network.cut(owner.vm, STORE_ADDRESS)


async def refuse(cluster: SimulatedCluster, owner: Daemon) -> None:
    cluster.network.refused_vms.add(owner.vm)


async def drop_history(cluster: SimulatedCluster, owner: Daemon) -> None:
    cluster.network.store.drop_history()
    await kill(cluster, owner)


class OwnersInTurnTests(SimulatedClusterTestCase):
    # Regression (MIXED): a daemon gave the number of an owner long gone while the next
    # ones were struck before they published theirs. Fault, how long each owner has the
    # lease, owners struck.
    ROWS = (
        ("killed at once", kill, 0.0, 3),
        ("killed before half a second", kill, 0.3, 3),
        ("killed again and again", kill, 0.3, 5),
        ("killed later", kill, 0.6, 4),
        ("cut from the store", cut, 0.3, 3),
        ("refused by the store", refuse, 0.3, 3),
        ("killed, and no history", drop_history, 0.3, 3),
    )

    def test_daemons_in_touch_know_how_many_jobs_wait(self):
        for _, fault, held_s, count in self.each(self.ROWS):

            async def scenario(cluster, fault=fault, held_s=held_s, count=count):
                cluster.add_workers(1)
                cluster.add_daemons(*(f"vm-{number}" for number in range(8)))
                await cluster.wait_for_owner()
                await asyncio.sleep(2.0)
                # Never the owner, so that it stays in touch.
                store = AuthorityStore(STORE_ADDRESS, cluster.network.client("other"))
                intake = Intake(store, VirtualClock())
                strikes = asyncio.ensure_future(
                    strike_in_turn(cluster, fault, held_s, count)
                )
                await asyncio.sleep(0.1)
                for number in range(6):
                    spec = job(f"j{number}", TOO_WIDE)
                    self.assertIsNone(await intake.submit(spec, LABELS_QUEUE, 9.0))
                await asyncio.sleep(MAX_AGE_S)
                while not strikes.done():
                    self.assertEqual(await intake.pending("labels"), 6)
                    await asyncio.sleep(0.25)
                strikes.result()

            self.run_scenario(scenario)


async def strike_in_turn(
    cluster: SimulatedCluster, fault, held_s: float, count: int
) -> None:
    """Strike one owner after the other, each so long after its take."""
    for _ in range(count):
        while (owner := cluster.owner()) is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(held_s)
        await fault(cluster, owner)
        while cluster.owner() is owner:
            await asyncio.sleep(0.01)
