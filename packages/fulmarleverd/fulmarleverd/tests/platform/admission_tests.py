"""Answers of the admission service, good and malformed."""

from __future__ import annotations

import unittest

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.platform.admission import AuthorityAdmission
from fulmarleverd.platform.http import Reply
from fulmarleverd.scheduling.ports import Admission


class PreparedClient:
    """Answers every call alike and keeps what was sent."""

    def __init__(self, result: object) -> None:
        self.result = result
        self.sent: list[tuple] = []

    async def call(self, *call: object) -> object:
        self.sent.append(call)
        return self.result


class AdmissionTests(TableTestCase, unittest.IsolatedAsyncioTestCase):
    async def test_answers_are_decoded(self):
        good = {"good": [["w1", "t1"], ["w2", "t2"]], "validityMs": 3000}
        rows = (
            ("two", Reply(200, good), Admission({"w1": "t1", "w2": "t2"}, 3.0)),
            ("none", Reply(200, {"good": []}), Admission({}, 0.0)),
            ("too many calls", Reply(429, None), Unavailable),
            ("no rows", Reply(200, {}), Unavailable),
            ("short row", Reply(200, {"good": [["w1"]]}), Unavailable),
            ("not an object", Reply(200, [1]), Unavailable),
            ("lost", OutcomeUnknown("lost"), OutcomeUnknown),
        )
        for _, reply, expected in self.each(rows):
            client = PreparedClient(reply)
            calls = AuthorityAdmission("a:1", client)
            found = await calls.admit("j.0.1", ["w1", "w2"], 0.7)
            if isinstance(expected, Admission):
                self.assertEqual(found, expected)
            else:
                self.assertIsInstance(found, expected)
            body = {"step": "j.0.1", "workers": ["w1", "w2"]}
            self.assertEqual(client.sent, [("POST", "a:1", "/advise", 0.7, body)])

    async def test_without_a_service_nothing_is_sent(self):
        client = PreparedClient(None)
        found = await AuthorityAdmission("", client).admit("j.0.0", ["w1"], 0.7)
        self.assertIsInstance(found, Unavailable)
        self.assertEqual(client.sent, [])
