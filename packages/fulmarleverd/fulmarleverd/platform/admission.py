"""The client of the admission service, which decides which workers may run a step."""

from __future__ import annotations

from fulmarlever.outcomes import OutcomeUnknown, Unavailable, failed
from fulmarleverd.platform.http import HTTPClient
from fulmarleverd.platform.json_values import (
    FORMAT_ERRORS,
    require_number,
    require_text,
)
from fulmarleverd.scheduling.ports import Admission


class AuthorityAdmission:
    """Calls to the admission service at one address, "" if there is no service."""

    __slots__ = ("_address", "_http")

    def __init__(self, address: str, http: HTTPClient) -> None:
        self._address = address
        self._http = http

    def set_address(self, address: str) -> None:
        """Use another address (``host:port``) from the next call on."""
        self._address = address

    async def admit(
        self, step: str, worker_ids: list[str], timeout_s: float
    ) -> Admission | Unavailable | OutcomeUnknown:
        """Ask which of the given workers may run a step.

        A malformed response counts as ``Unavailable``, as the call changes nothing.
        """
        if not self._address:
            return Unavailable("the settings contain no admission service address")
        body = {"step": step, "workers": worker_ids}
        response = await self._http.call(
            "POST", self._address, "/advise", timeout_s, body
        )
        if failed(response):
            return response
        if response.status != 200:
            return Unavailable(
                f"the admission service answered with status {response.status}"
            )
        try:
            # Each row is a worker id and its ticket. Workers without a row may not run
            # the step.
            tickets = {
                require_text(row[0]): require_text(row[1])
                for row in response.body["good"]
            }
            validity_ms = require_number(response.body.get("validityMs", 0))
            return Admission(tickets, validity_ms / 1000.0)
        except FORMAT_ERRORS as exc:
            return Unavailable(
                f"malformed response from the admission service: {exc!r}"
            )
