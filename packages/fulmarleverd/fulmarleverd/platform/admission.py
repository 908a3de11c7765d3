"""The admission service's client: which workers may run a step."""

from __future__ import annotations

from fulmarlever.outcomes import OutcomeUnknown, Unavailable, failed
from fulmarleverd.platform.http import HTTPClient
from fulmarleverd.scheduling.ports import Admission


class AuthorityAdmission:
    """Calls to the service at one address, "" if there is none."""

    __slots__ = ("_address", "_http")

    def __init__(self, address: str, http: HTTPClient) -> None:
        self._address = address
        self._http = http

    def move(self, address: str) -> None:
        """Use another address from the next call on."""
        self._address = address

    async def admit(
        self, step: str, worker_ids: list[str], timeout_s: float
    ) -> Admission | Unavailable | OutcomeUnknown:
        """Ask which of some workers may run a step."""
        if not self._address:
            return Unavailable("the settings name no admission service")
        body = {"step": step, "workers": worker_ids}
        reply = await self._http.call("POST", self._address, "/advise", timeout_s, body)
        if failed(reply):
            return reply
        if reply.status != 200:
            return Unavailable(f"the admission service answers {reply.status}")
        try:
            # Rows of worker id and ticket; workers without a row are not admitted.
            tickets = {str(row[0]): str(row[1]) for row in reply.body["good"]}
            return Admission(tickets, reply.body.get("validityMs", 0) / 1000.0)
        except (KeyError, TypeError, IndexError, AttributeError) as exc:
            return Unavailable(f"malformed answer of the admission service: {exc!r}")
