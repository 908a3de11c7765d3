from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from fulmarlever_standins.caller import CallerRequest, CallerResult, Reply
from fulmarlever_standins.experiment_file import Experiment
from fulmarlever_standins.fault_actions import FAULT_ACTIONS
from fulmarlever_standins.results import ResultsFile, RunResult, compare, summarise

EXPERIMENTS = Path(__file__).resolve().parents[4] / "experiments"
REQUEST = CallerRequest("r-1", "filling")


def make_reply(started: float, reply: Reply, latency_s: float = 0.1) -> CallerResult:
    return CallerResult(REQUEST, "entry", reply, 200, "", started, latency_s)


def make_run_result(repeat: int, p99_ms: float) -> RunResult:
    counts = {"served": 90, "not-run": 10}
    latencies = {"p50_ms": 1.0, "p99_ms": p99_ms, "p999_ms": p99_ms}
    return RunResult(
        variant="v",
        level=1.0,
        repeat=repeat,
        load="orders",
        duration_s=10.0,
        counts=counts,
        recovery_s=0.0,
        cpu_s=1.0,
        overruns=0,
        max_in_progress=8,
        max_connections=8,
        histogram="",
        **latencies,
    )


class ResultsTests(unittest.TestCase):
    def test_summary_has_reply_counts_latencies_of_served_and_recovery_time(self):
        served = [make_reply(number / 10, Reply.SERVED) for number in range(40)]
        lost = [make_reply(1.0 + number / 10, Reply.LOST, 9.0) for number in range(5)]
        summary = summarise(served + lost, 0.0, first_fault_s=1.0)
        self.assertEqual(summary["counts"], {"served": 40, "lost": 5})
        self.assertAlmostEqual(summary["p999_ms"], 100.0, delta=0.2)
        self.assertEqual(summary["recovery_s"], 0.5)
        self.assertEqual(summarise(served, 0.0, None)["recovery_s"], 0.0)

    def test_results_survive_a_file_and_medians_are_compared(self):
        old = ResultsFile(
            "e", [make_run_result(n, p) for n, p in enumerate((5, 10, 90))]
        )
        new = ResultsFile("e", [replace(make_run_result(0, 20.0), overruns=1)])
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "results" / "e.json"
            old.write(path)
            read_back = ResultsFile.read(path)
        self.assertEqual(read_back, old)
        (numbers,) = read_back.medians().values()
        self.assertEqual(numbers[:5], [10.0, 9.0, 90.0, 1.0, 10.0])
        line = compare(read_back, new).splitlines()[-1]
        self.assertIn("| 2 |", line)
        self.assertIn("0 -> 1", line)

    def test_experiment_files_use_known_actions_and_services(self):
        for path in sorted(EXPERIMENTS.glob("*.yaml")):
            with self.subTest(path.name):
                experiment = Experiment.from_file(path)
                services = experiment.configuration["services"]
                self.assertLessEqual(
                    {load.spec.service for load in experiment.loads}, set(services)
                )
                for fault in experiment.faults:
                    FAULT_ACTIONS.find(fault.action)
