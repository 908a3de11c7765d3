"""Tests of the admission service's client with valid and malformed responses."""

from __future__ import annotations

import unittest

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.platform.admission import AuthorityAdmission
from fulmarleverd.platform.http import Response
from fulmarleverd.scheduling.ports import Admission


class RecordingClient:
    """Returns the same result for every call and records the calls."""

    def __init__(self, result: object) -> None:
        self.result = result
        self.sent: list[tuple] = []

    async def call(self, *call: object) -> object:
        self.sent.append(call)
        return self.result


class AdmissionTests(TableTestCase, unittest.IsolatedAsyncioTestCase):
    async def test_responses_are_decoded(self):
        good = {"good": [["w1", "t1"], ["w2", "t2"]], "validityMs": 3000}
        rows = (
            (
                "two workers",
                Response(200, good),
                Admission({"w1": "t1", "w2": "t2"}, 3.0),
            ),
            ("no worker", Response(200, {"good": []}), Admission({}, 0.0)),
            ("too many calls", Response(429, None), Unavailable),
            ("no rows", Response(200, {}), Unavailable),
            ("short row", Response(200, {"good": [["w1"]]}), Unavailable),
            ("not an object", Response(200, [1]), Unavailable),
            ("lost", OutcomeUnknown("lost"), OutcomeUnknown),
        )
        for _, response, expected in self.each(rows):
            client = RecordingClient(response)
            calls = AuthorityAdmission("a:1", client)
            found = await calls.admit("j.0.1", ["w1", "w2"], 0.7)
            if isinstance(expected, Admission):
                self.assertEqual(found, expected)
            else:
                self.assertIsInstance(found, expected)
            body = {"step": "j.0.1", "workers": ["w1", "w2"]}
            self.assertEqual(client.sent, [("POST", "a:1", "/advise", 0.7, body)])

    async def test_without_an_address_no_request_is_sent(self):
        client = RecordingClient(None)
        found = await AuthorityAdmission("", client).admit("j.0.0", ["w1"], 0.7)
        self.assertIsInstance(found, Unavailable)
        self.assertEqual(client.sent, [])
