from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarleverd.peers.topics import Entry, Topics, newer_than

VMS = ("a", "b", "c")
TOPICS = ("load", "free")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("publish"), st.sampled_from(VMS), st.sampled_from(TOPICS)),
        st.tuples(st.just("beat"), st.sampled_from(VMS), st.sampled_from(VMS)),
        st.tuples(st.just("cut"), st.sampled_from(VMS), st.sampled_from(VMS)),
        st.tuples(st.just("restart"), st.sampled_from(VMS), st.none()),
    ),
    max_size=80,
)


class Daemon:
    """Topics of one daemon, its connections and its publications."""

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.topics = Topics()
        self.positions: dict[str, int] = {}

    def publish(self, topic: str, value: int) -> None:
        held = self.topics.get(self.vm, topic)
        version = held.version + 1 if held else 1
        self.topics.put(Entry(self.vm, topic, self.incarnation, version, value))

    def beat(self, other: Daemon) -> None:
        """Send what has changed; a new connection compares digests first."""
        position = self.topics.position
        entries = list(self.topics.since(self.positions.get(other.vm, 0)))
        entries = [entry for entry in entries if entry.vm == self.vm]
        if other.vm not in self.positions:
            entries = list(newer_than(entries, other.topics.digests()))
        for entry in entries:
            other.topics.put(Entry.from_wire(entry.to_wire()))
        self.positions[other.vm] = position


class NaiveDaemon(Daemon):
    """The same with the full state in each heartbeat."""

    def beat(self, other: Daemon) -> None:
        for entry in self.topics.since(0):
            if entry.vm == self.vm:
                other.topics.put(entry)


def run(kind: type[Daemon], steps: list[tuple]) -> list[dict]:
    """Play the steps, let every daemon beat once and return what each one holds."""
    fleet = {vm: kind(vm, 1) for vm in VMS}
    for number, (step, vm, other) in enumerate(steps):
        if step == "publish":
            fleet[vm].publish(other, number)
        elif step == "beat" and vm != other:
            fleet[vm].beat(fleet[other])
        elif step == "cut":
            fleet[vm].positions.pop(other, None)
        elif step == "restart":
            fleet[vm] = kind(vm, fleet[vm].incarnation + 1)
            for daemon in fleet.values():
                daemon.positions.pop(vm, None)
    for daemon in fleet.values():
        for other in fleet.values():
            if other is not daemon:
                daemon.beat(other)
    return [daemon.topics.digests() for daemon in fleet.values()]


class DeltaTests(unittest.TestCase):
    @given(STEPS)
    def test_deltas_converge_to_the_full_exchange(self, steps):
        self.assertEqual(run(Daemon, steps), run(NaiveDaemon, steps))

    @given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5)), min_size=1))
    def test_the_newest_entry_stays_whatever_the_order(self, orders):
        topics = Topics()
        for order in orders:
            topics.put(Entry("a", "load", *order, value=order))
        self.assertEqual(topics.get("a", "load").value, max(orders))

    def test_an_unchanged_topic_costs_nothing(self):
        one, two = Daemon("a", 1), Daemon("b", 1)
        one.publish("load", 1)
        one.publish("free", 1)
        one.beat(two)
        one.publish("load", 2)
        changed = list(one.topics.since(one.positions["b"]))
        self.assertEqual([entry.topic for entry in changed], ["load"])
