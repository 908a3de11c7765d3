from __future__ import annotations

from loguru import logger as log

from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase


class RunLinesTests(OwnerTestCase):
    # Guards against logs in which the incarnations of a worker look like one process.
    def test_lines_about_a_run_name_the_incarnation_that_has_it(self):
        lines = []
        log.add(lambda message: lines.append(message.record["extra"]))
        job = self.add_job("j", StepSpec(count=1, cpu_m=1000))
        run = self.start(job, self.workers[0])
        next_incarnation = self.add_worker("w1", incarnation="2")
        self.report(next_incarnation, (run, 10.0, 0.0))
        self.report(next_incarnation, ends=((run, "done"),))
        found = {line["event"]: line for line in lines if "run" in line}
        self.assertEqual(found.keys(), {"run-moved", "run-ended"})
        for line in found.values():
            self.assertEqual((line["worker"], line["incarnation"]), ("w1", "2"))
