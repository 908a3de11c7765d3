from __future__ import annotations

import heapq
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.policies.routing import ROUTING

SLOTS = 8
REQUESTS = 4000
WEIGHT = 0.2


class Server:
    def __init__(self, limit=SLOTS, in_use=0, latency_s=0.01):
        self.limit = limit
        self.in_use = in_use
        self.latency_s = latency_s


def simulate(policy_name, run_s, load, seed):
    """Return the sorted times, in seconds, of simulated requests at some servers.

    ``run_s`` holds each server's mean time of a request in seconds. ``load`` is the
    offered load as a fraction of the capacity that the servers would have if all were
    as fast as the fastest one. Requests arrive at random; the time of one that finds no
    free slot is infinite.
    """
    rng = random.Random(seed)
    policy = ROUTING.find(policy_name)(random.Random(seed + 1))
    servers = [Server() for _ in run_s]
    rate = load * len(run_s) * SLOTS / min(run_s)
    now, times, ends = 0.0, [], []
    for number in range(REQUESTS):
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            _, _, index, took = heapq.heappop(ends)
            servers[index].in_use -= 1
            servers[index].latency_s += WEIGHT * (took - servers[index].latency_s)
        open_servers = [s for s in servers if s.in_use < s.limit]
        if not open_servers:
            times.append(float("inf"))
            continue
        chosen = policy.choose(open_servers)
        index = servers.index(chosen)
        chosen.in_use += 1
        took = rng.expovariate(1 / run_s[index])
        heapq.heappush(ends, (now + took, number, index, took))
        times.append(took)
    return sorted(times)


def p99(times):
    return times[int(0.99 * len(times))]


class RoutingTests(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, 7), st.floats(0.001, 10)), min_size=1, max_size=20
        ),
        st.sampled_from(sorted(ROUTING)),
        st.integers(0, 1000),
    )
    def test_choice_is_one_of_the_servers(self, rows, name, seed):
        servers = [Server(SLOTS, used, latency_s) for used, latency_s in rows]
        policy = ROUTING.find(name)(random.Random(seed))
        for _ in range(5):
            self.assertIn(policy.choose(servers), servers)

    def test_worst_of_several_is_never_chosen(self):
        worst = Server(in_use=7, latency_s=1.0)
        servers = [Server(), worst, Server()]
        for name in ("two-choices", "least-loaded"):
            policy = ROUTING.find(name)(random.Random(1))
            chosen = {id(policy.choose(servers)) for _ in range(200)}
            self.assertNotIn(id(worst), chosen)

    def test_one_slow_server_of_eight_raises_p99_less_than_with_naive_policies(self):
        run_s = [0.01] * 7 + [0.1]
        for seed in (1, 2, 3):
            with self.subTest(seed):
                tails = {
                    name: p99(simulate(name, run_s, 0.6, seed))
                    for name in ("two-choices", "random", "round-robin")
                }
                self.assertLess(tails["two-choices"], 0.75 * tails["random"])
                self.assertLess(tails["two-choices"], 0.75 * tails["round-robin"])

    def test_p99_of_equal_servers_is_close_to_round_robin(self):
        for seed in (1, 2, 3):
            with self.subTest(seed):
                chosen = p99(simulate("two-choices", [0.01] * 8, 0.8, seed))
                naive = p99(simulate("round-robin", [0.01] * 8, 0.8, seed))
                self.assertLessEqual(chosen, 1.1 * naive)
