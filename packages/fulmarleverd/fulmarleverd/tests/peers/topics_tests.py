from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarleverd.peers.outbox import Outbox
from fulmarleverd.peers.topics import (
    Entry,
    TopicPublisher,
    Topics,
    entries_from_wire,
    entries_to_wire,
    values_by_vm,
)

VMS = ("a", "b", "c")
TOPICS = ("load", "free")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("publish"), st.sampled_from(VMS), st.sampled_from(TOPICS)),
        st.tuples(st.just("heartbeat"), st.sampled_from(VMS), st.sampled_from(VMS)),
        st.tuples(st.just("disconnect"), st.sampled_from(VMS), st.sampled_from(VMS)),
        st.tuples(st.just("restart"), st.sampled_from(VMS), st.none()),
    ),
    max_size=80,
)


class Daemon:
    """One daemon's topics, their publisher and an outbox for each connection."""

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.topics = Topics()
        self.publisher = TopicPublisher(self.topics, vm)
        self.outboxes: dict[str, Outbox] = {}

    def publish(self, topic: str, number: int) -> None:
        value = number
        if topic == "load":
            value = {f"service-{number % 3}": number, "service-0": 0}
        self.publisher.publish(topic, value, self.incarnation)

    def disconnect(self, vm: str) -> None:
        if vm in self.outboxes:
            self.outboxes.pop(vm).close()

    def heartbeat(self, other: Daemon, budget_bytes: float = 10.0) -> None:
        """Send what has changed; a new connection starts from the digests."""
        if other.vm not in self.outboxes:
            outbox = Outbox(self.topics, self.vm, lambda entry: entry.vm == self.vm)
            outbox.open(other.topics.digests())
            self.outboxes[other.vm] = outbox
        wire = entries_to_wire(self.outboxes[other.vm].take(budget_bytes))
        for entry in entries_from_wire(wire):
            other.topics.put(entry)


class NaiveDaemon(Daemon):
    """A daemon that sends its full state in each heartbeat."""

    def heartbeat(self, other: Daemon, budget_bytes: float = 10.0) -> None:
        for entry in self.topics:
            if entry.vm == self.vm:
                other.topics.put(entry)


def run(kind: type[Daemon], steps: list[tuple]) -> list[dict]:
    """Run the steps and a final exchange; return the entries of each daemon."""
    daemons = {vm: kind(vm, 1) for vm in VMS}
    for number, (step, vm, other) in enumerate(steps):
        if step == "publish":
            daemons[vm].publish(other, number)
        elif step == "heartbeat" and vm != other:
            daemons[vm].heartbeat(daemons[other])
        elif step == "disconnect":
            daemons[vm].disconnect(other)
        elif step == "restart":
            daemons[vm] = kind(vm, daemons[vm].incarnation + 1)
            for daemon in daemons.values():
                daemon.disconnect(vm)
    for daemon in daemons.values():
        for other in daemons.values():
            if other is not daemon:
                daemon.heartbeat(other, float("inf"))
    # A view shows the entries of current incarnations only.
    return [
        {e.key: e for e in d.topics if e.incarnation == daemons[e.vm].incarnation}
        for d in daemons.values()
    ]


class DeltaTests(unittest.TestCase):
    @given(STEPS)
    def test_deltas_converge_to_the_full_exchange(self, steps):
        self.assertEqual(run(Daemon, steps), run(NaiveDaemon, steps))

    @given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5)), min_size=1))
    def test_newest_entry_is_kept_in_any_order_of_arrival(self, orders):
        topics = Topics()
        for order in orders:
            topics.put(Entry("a", "free", "", *order, value=order))
        self.assertEqual(topics.get(("a", "free", "")).value, max(orders))

    def test_unchanged_entries_are_not_sent(self):
        one, two = Daemon("a", 1), Daemon("b", 1)
        one.publisher.publish("load", {"x": 1, "y": 1}, 1)
        one.publish("free", 1)
        one.heartbeat(two, float("inf"))
        one.publisher.publish("load", {"x": 2, "y": 1}, 1)
        one.publish("free", 1)
        changed = one.outboxes["b"].take(float("inf"))
        self.assertEqual([entry.item for entry in changed], ["x"])

    def test_small_budget_starves_no_item(self):
        one, two = Daemon("a", 1), Daemon("b", 1)
        items = [f"service-{number}" for number in range(20)]
        for heartbeat in range(len(items)):
            load = {item: [heartbeat, 8] for item in items}
            one.publisher.publish("load", load, 1)
            one.heartbeat(two, 1.0)
        self.assertEqual(
            set(values_by_vm(two.topics.of_topic("load"))["a"]), set(items)
        )

    def test_own_items_are_sent_before_relayed_ones(self):
        topics = Topics()
        outbox = Outbox(topics, "a", lambda entry: True)
        outbox.open(None)
        for number in range(100):
            topics.put(Entry("remote", "load", f"service-{number}", 1, 1, [1]))
        topics.put(Entry("a", "load", "service-0", 1, 1, [1]))
        self.assertEqual([entry.vm for entry in outbox.take(1.0)], ["a", "remote"])

    def test_removed_item_is_absent_from_the_values(self):
        one, two = Daemon("a", 1), Daemon("b", 1)
        for load in ({"x": 1, "y": 2}, {"y": 2}):
            one.publisher.publish("load", load, 1)
            one.heartbeat(two, float("inf"))
        self.assertEqual(values_by_vm(two.topics.of_topic("load")), {"a": {"y": 2}})
