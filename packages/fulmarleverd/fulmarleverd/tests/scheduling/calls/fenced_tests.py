"""The fencing tokens of calls to workers that get no answer."""

from __future__ import annotations

import asyncio

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.calls.fenced import FencedWorkerCalls
from fulmarleverd.scheduling.calls.outstanding import MAX_LATE_S, OutstandingCalls
from fulmarleverd.scheduling.calls.tokens import CallTokens
from fulmarleverd.scheduling.ports import (
    REJECT_CAPACITY,
    REJECT_TOKEN,
    Accepted,
    Command,
    CommandResult,
    Rejected,
    WorkerReport,
)
from fulmarleverd.scheduling.specs import WorkerEntry, WorkerKey
from fulmarleverd.scheduling.term.lease import TOKENS_PER_TERM

ENTRY = WorkerEntry("w1", "7", "desk", "w1:1", "z", 32000, 128000)
SAME = WorkerKey("w1", "7")
NEXT = WorkerKey("w1", "8")
OTHER = WorkerKey("w2", "8")


class Lease:
    """A fake lease of the third owner."""

    token = 3 * TOKENS_PER_TERM


class ScriptedCalls:
    """Fake calls that return the given results one after the other."""

    def __init__(self, *results: object) -> None:
        self.results = list(results)
        self.tokens: list[int] = []

    async def start(self, worker: WorkerEntry, command: Command) -> CommandResult:
        self.tokens.append(command.token)
        return self.results.pop(0)

    async def extend_lease(
        self, worker: WorkerEntry, token: int, *args: object
    ) -> object:
        self.tokens.append(token)
        return self.results.pop(0)


class FencedCallsTestCase(TableTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.tokens = CallTokens(Lease())
        self.outstanding = OutstandingCalls(self.clock)

    def fenced(self, *results: object) -> tuple[FencedWorkerCalls, ScriptedCalls]:
        calls = ScriptedCalls(*results)
        return FencedWorkerCalls(calls, self.tokens, self.outstanding), calls

    def start(self, calls: FencedWorkerCalls, token: int = 0) -> CommandResult:
        token = token or self.tokens.current("w1")
        return asyncio.run(calls.start(ENTRY, Command("t", 1, token)))


class FencedCallsTests(FencedCallsTestCase):
    # Guards against calls that are carried out after later ones (TWICE).
    def test_the_token_rises_after_a_call_without_an_answer(self):
        rows = (
            ("no answer", OutcomeUnknown("no answer"), 1),
            ("not sent", Unavailable("refused"), 0),
            ("accepted", Accepted(1), 0),
            ("rejected", Rejected(REJECT_CAPACITY), 0),
        )
        for _, result, rise in self.each(rows):
            before = self.tokens.current("w1")
            self.start(self.fenced(result)[0])
            self.assertEqual(self.tokens.current("w1"), before + rise)
            self.assertLess(self.tokens.current("w2"), before + rise + 1)

    def test_all_tokens_are_those_of_the_term(self):
        first = 2 * TOKENS_PER_TERM + 1
        self.assertEqual(self.tokens.current("w1"), first)
        for _ in range(TOKENS_PER_TERM + 5):
            self.tokens.rise("w1")
        self.assertEqual(self.tokens.current("w1"), Lease.token)

    def test_a_call_that_was_overtaken_is_sent_again(self):
        old = self.tokens.current("w1")
        self.tokens.rise("w1")
        calls, sent = self.fenced(Rejected(REJECT_TOKEN), Accepted(1))
        self.assertIsInstance(self.start(calls, old), Accepted)
        self.assertEqual(sent.tokens, [old, old + 1])

    def test_the_token_of_another_owner_ends_the_attempts(self):
        calls, sent = self.fenced(Rejected(REJECT_TOKEN))
        self.assertEqual(self.start(calls).reason, REJECT_TOKEN)
        self.assertEqual(len(sent.tokens), 1)


class OutstandingCallsTests(FencedCallsTestCase):
    def test_a_call_may_arrive_for_a_while_after_the_wait_for_its_answer(self):
        rows = (
            ("acknowledges", OutcomeUnknown("no answer"), 13, True, True),
            ("acknowledges nothing", OutcomeUnknown("no answer"), 0, True, False),
            ("answered", WorkerReport(1, "7"), 13, False, False),
            ("not sent", Unavailable("refused"), 13, False, False),
        )
        for _, result, number, may_arrive, may_acknowledge in self.each(rows):
            self.setUp()
            self.clock.advance(50.0)
            calls, _ = self.fenced(result)
            asyncio.run(calls.extend_lease(ENTRY, 1, 0, number, 0.0))
            kinds = (
                (self.outstanding.any_call, may_arrive),
                (self.outstanding.acknowledgements, may_acknowledge),
            )
            for kind, expected in kinds:
                now = self.clock.now
                self.assertEqual(kind.may_reach(NEXT, now), expected)
                self.assertFalse(kind.may_reach(NEXT, now + MAX_LATE_S + 0.1))
                self.assertFalse(kind.may_reach(OTHER, now))
                self.assertFalse(kind.may_reach(SAME, now))
