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


def reply_at(started: float, reply: Reply, latency_s: float = 0.1) -> CallerResult:
    return CallerResult(REQUEST, "entry", reply, 200, "", started, latency_s)


def run_result(repeat: int, p99_ms: float) -> RunResult:
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
    def test_summary_counts_served_latencies_and_the_time_to_recover(self):
        served = [reply_at(number / 10, Reply.SERVED) for number in range(40)]
        lost = [reply_at(1.0 + number / 10, Reply.LOST, 9.0) for number in range(5)]
        summary = summarise(served + lost, 0.0, first_fault_s=1.0)
        self.assertEqual(summary["counts"], {"served": 40, "lost": 5})
        self.assertAlmostEqual(summary["p999_ms"], 100.0, delta=0.2)
        self.assertEqual(summary["recovery_s"], 0.5)
        self.assertEqual(summarise(served, 0.0, None)["recovery_s"], 0.0)

    def test_file_keeps_results_and_medians_are_compared(self):
        old = ResultsFile("e", [run_result(n, p) for n, p in enumerate((5, 10, 90))])
        new = ResultsFile("e", [replace(run_result(0, 20.0), overruns=1)])
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "results" / "e.json"
            old.write(path)
            kept = ResultsFile.read(path)
        self.assertEqual(kept, old)
        (numbers,) = kept.medians().values()
        self.assertEqual(numbers[:5], [10.0, 9.0, 90.0, 1.0, 10.0])
        line = compare(kept, new).splitlines()[-1]
        self.assertIn("| 2 |", line)
        self.assertIn("0 -> 1", line)

    def test_experiment_files_name_known_actions_and_services(self):
        for path in sorted(EXPERIMENTS.glob("*.yaml")):
            with self.subTest(path.name):
                experiment = Experiment.from_file(path)
                services = experiment.configuration["services"]
                self.assertLessEqual(
                    {load.spec.service for load in experiment.loads}, set(services)
                )
                for fault in experiment.faults:
                    FAULT_ACTIONS.find(fault.action)
