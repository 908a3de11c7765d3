from __future__ import annotations

from fulmarlever_standins.caller import CallerRequest, Reply
from fulmarlever_standins.tests.failures.base import SERVICE, FailureTestCase

REQUESTS = 40


class OldSetupTests(FailureTestCase):
    zones = ("a",)
    workers = 1
    instances = 1
    new_share = "50%"
    has_old_setup = True
    # The probes are split between the two setups, so one probe would reach only one.
    probes = 10

    async def test_answers_of_the_old_and_the_new_setup_have_equal_headers(self):
        requests = [
            CallerRequest(
                f"r-{n:02}", SERVICE, "POST", "orders", b"order", f"key-{n:02}"
            )
            for n in range(REQUESTS)
        ]
        fields = {await self.send_twice(request) for request in requests}
        self.assertEqual(len(fields), 1, fields)
        old = await self.cluster.old_setup_record()
        new = (await self.cluster.backend_totals()).runs
        for runs in (old["runs"], new):
            self.assertTrue(any(request.request_id in runs for request in requests))
        for request in requests:
            count = old["runs"].get(request.request_id, 0)
            count += new.get(request.request_id, 0)
            self.assertEqual(count, 1, request.request_id)

    async def send_twice(self, request):
        """Return the header fields of the first answer, without the value of Date."""
        first, second = self.cluster.topology.entries
        url = f"http://{first.caller_address}/{request.service}/{request.path}"
        async with self.caller.session.post(
            url, data=request.body, headers=request.headers()
        ) as answer:
            body = await answer.read()
            self.assertEqual((answer.status, body), (200, request.expected_answer()))
            fields = tuple(
                (name, "" if name == "Date" else value)
                for name, value in answer.headers.items()
            )
        repeated = await self.caller.send(request, second.name, second.caller_address)
        self.assertEqual(repeated.reply, Reply.SERVED, repeated.detail)
        return fields
