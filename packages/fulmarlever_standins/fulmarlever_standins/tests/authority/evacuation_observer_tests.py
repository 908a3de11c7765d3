"""The observer of the simulation and the soak finds runs that begin too late."""

from __future__ import annotations

import asyncio

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.authority.evacuations import (
    EvacuationObserver,
    is_store_disturbed,
)
from fulmarlever_standins.authority.network import STORE_ADDRESS, Network
from fulmarlever_standins.authority.virtual_time import run_virtual
from fulmarlever_standins.authority.worker import WorkerCore

EVACUATE_S = 5.0


class LateStartTests(TableTestCase):
    # Zone of the worker, events as (seconds, what), and the lateness at 10 s.
    ROWS = (
        ("not evacuated", "z", (), 0.0),
        ("long before", "z", ((1.0, "evacuate"),), 4.0),
        ("of another zone", "y", ((1.0, "evacuate"),), 0.0),
        ("shortly before", "z", ((6.0, "evacuate"),), 0.0),
        ("taken back", "z", ((1.0, "evacuate"), (9.0, "restore")), 0.0),
        (
            "asked again",
            "z",
            ((1.0, "evacuate"), (2.0, "restore"), (2.5, "evacuate")),
            2.5,
        ),
        ("asked twice", "z", ((1.0, "evacuate"), (6.0, "evacuate")), 4.0),
        ("store disturbed", "z", ((1.0, "evacuate"), (3.0, "disturb")), 2.0),
        ("disturbed before", "z", ((0.5, "disturb"), (1.0, "evacuate")), 4.0),
    )

    # Guards against an invariant that never finds anything.
    def test_the_bound_counts_from_the_row_or_the_last_disturbance(self):
        for _, zone, events, expected in self.each(self.ROWS):

            async def play(
                zone: str = zone, events: tuple = events
            ) -> tuple[float, list[str]]:
                network = Network()
                observer = EvacuationObserver(network, EVACUATE_S)
                loop = asyncio.get_running_loop()
                actions = {
                    "evacuate": lambda: observer.evacuate("z"),
                    "restore": lambda: observer.restore("z"),
                    "disturb": observer.record_disturbance,
                }
                for at_s, what in events:
                    await asyncio.sleep(at_s - loop.time())
                    actions[what]()
                await asyncio.sleep(10.0 - loop.time())
                late_s = observer.late_s(WorkerCore("w", "w:1", zone))
                return late_s, network.store.keys("op")

            late_s, keys = run_virtual(play())
            self.assertAlmostEqual(late_s, expected)
            written = [what for _, what in events if what != "disturb"]
            is_evacuated = bool(written) and written[-1] == "evacuate"
            self.assertEqual(keys, ["evacuate/z"] * is_evacuated)

    def test_a_store_out_of_reach_is_a_disturbance(self):
        rows = (
            ("open", {}, False),
            ("down", {"is_store_down": True}, True),
            ("refusing", {"refused_vms": {"vm"}}, True),
            ("cut off", {"cuts": {("vm", STORE_ADDRESS)}}, True),
            ("a worker cut off", {"cuts": {("vm", "w:1")}}, False),
        )
        for _, fields, expected in self.each(rows):
            network = Network()
            for name, value in fields.items():
                setattr(network, name, value)
            self.assertEqual(is_store_disturbed(network), expected)
