from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.outcomes import OutcomeUnknown, Unavailable, failed
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.peers.calls import PendingCalls, read_answer
from fulmarleverd.peers.frames import Answer, CallStatus
from fulmarleverd.tests.peers.cluster import Echo

# A call is opened, cancelled or answered; the number selects one of the calls so far.
STEPS = st.lists(
    st.tuples(st.sampled_from(["open", "cancel", "answer"]), st.integers(0, 30)),
    max_size=60,
)


def answer_to(number: int, text: str) -> Answer:
    return Answer(0, number, CallStatus.ANSWERED, Echo.wire_name, [text, 0.0])


class PendingCallsTests(unittest.TestCase):
    @given(STEPS)
    def test_each_call_gets_its_own_answer_or_a_failure(self, steps):
        async def run():
            pending = PendingCalls()
            calls = []
            answered = set()
            for step, selection in steps:
                if step == "open":
                    calls.append(pending.open())
                    continue
                if not calls:
                    continue
                index = selection % len(calls)
                if step == "cancel":
                    pending.close(calls[index][0])
                elif pending.resolve(answer_to(calls[index][0], f"call {index}")):
                    answered.add(index)
            pending.fail("the connection was lost")
            return answered, [future.done() and future.result() for _, future in calls]

        answered, results = asyncio.run(run())
        for index, result in enumerate(results):
            if index in answered:
                self.assertEqual(result, Echo(f"call {index}"))
            else:
                self.assertTrue(result is False or failed(result))


class AnswerTests(TableTestCase):
    def test_statuses(self):
        rows = [
            ("not started", Answer(0, 1, CallStatus.NOT_STARTED, "", "x"), Unavailable),
            (
                "outcome unknown",
                Answer(0, 1, CallStatus.UNKNOWN, "", "x"),
                OutcomeUnknown,
            ),
            ("unknown status", Answer(0, 1, 77, "", "x"), OutcomeUnknown),
            ("unknown message", Answer(0, 1, 0, "no-such", []), OutcomeUnknown),
            ("wrong fields", Answer(0, 1, 0, "test-echo", [1, 2, 3]), OutcomeUnknown),
        ]
        for _, answer, expected in self.each(rows):
            result = read_answer(answer)
            self.assertTrue(failed(result))
            self.assertIsInstance(result, expected)
