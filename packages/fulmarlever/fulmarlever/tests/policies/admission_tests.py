from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.policies.admission import ADMISSION
from fulmarlever.structure.configuration import ServiceSpec, Urgency

CAPACITY = 100
SERVICES = {
    urgency.name: ServiceSpec(
        urgency.name, "portland", urgency=urgency, guaranteed_share=0.1 + 0.05 * urgency
    )
    for urgency in Urgency
}
names = st.sampled_from(sorted(SERVICES))
steps = st.lists(st.tuples(names, st.integers(-60, 120)), max_size=30)


def build(name, services=SERVICES):
    policy = ADMISSION.find(name)(CAPACITY)
    policy.configure(services, CAPACITY)
    return policy


def offer(policy, name, count):
    """Offer requests until one is refused; return how many were admitted."""
    admitted = 0
    for _ in range(count):
        if not policy.admits(SERVICES[name]):
            break
        policy.enter(name)
        admitted += 1
    return admitted


def replay(policy, changes):
    for name, count in changes:
        offer(policy, name, count)
        for _ in range(min(-count, policy.in_use.get(name, 0))):
            policy.leave(name)


class GuaranteedSharesTests(unittest.TestCase):
    @given(steps, names)
    def test_a_service_always_reaches_its_guaranteed_share(self, changes, name):
        policy = build("shares")
        replay(policy, changes)
        offer(policy, name, CAPACITY)
        self.assertGreaterEqual(policy.in_use[name], policy.guaranteed[name])

    @given(steps)
    def test_total_is_at_most_twice_the_capacity(self, changes):
        policy = build("shares")
        replay(policy, changes)
        self.assertLessEqual(policy.total, 2 * CAPACITY)
        self.assertEqual(policy.total, sum(policy.in_use.values()))

    def test_single_service_may_borrow_up_to_the_limit_of_its_urgency(self):
        for name, used in (("CRITICAL", 100), ("HIGH", 95), ("NORMAL", 90)):
            with self.subTest(name):
                self.assertEqual(offer(build("shares"), name, 1000), used)

    def test_flood_blocks_other_services_only_with_the_naive_policy(self):
        for flood in SERVICES:
            for name in SERVICES:
                with self.subTest(f"{name} under {flood}"):
                    shares, naive = build("shares"), build("none")
                    for policy in (shares, naive):
                        offer(policy, flood, 1000)
                    guaranteed = shares.guaranteed[name]
                    self.assertGreaterEqual(offer(shares, name, guaranteed), 0)
                    self.assertGreaterEqual(shares.in_use[name], guaranteed)
                    self.assertEqual(offer(naive, name, guaranteed), 0)

    @given(st.lists(st.floats(0, 1), min_size=1, max_size=8))
    def test_guaranteed_shares_above_one_in_total_are_scaled_down(self, fractions):
        services = {
            str(i): ServiceSpec(str(i), "portland", guaranteed_share=fraction)
            for i, fraction in enumerate(fractions)
        }
        policy = build("shares", services)
        total = sum(policy.guaranteed.values())
        self.assertLessEqual(total, CAPACITY + len(fractions))
