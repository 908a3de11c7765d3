"""Exchange of accepted generations between daemons, for when the table is down."""

from __future__ import annotations

from dataclasses import dataclass, field

from fulmarlever.outcomes import Unavailable, failed
from fulmarlever.structure.messages import message
from fulmarleverd.generations.accepted import AcceptedGeneration
from fulmarleverd.generations.packing import compress_text, decompress_text
from fulmarleverd.kernel import Service

GENERATION_TOPIC = "config"
CALL_TIMEOUT_S = 2.0
MAX_PEERS_QUERIED = 3


@message("generation-request")
@dataclass(slots=True)
class GenerationRequest:
    """Requests the generation in force at a peer if it is newer than ``known``."""

    known: int


@message("generation-body")
@dataclass(slots=True)
class GenerationBody:
    """The answer to a request: a generation with its compressed text in ``packed``."""

    generation: int
    digest: str
    packed: bytes
    submissions: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_accepted(cls, accepted: AcceptedGeneration) -> GenerationBody:
        """Build the answer that contains a generation."""
        packed = compress_text(accepted.text)
        return cls(accepted.generation, accepted.digest, packed, accepted.submissions)

    def to_accepted(self) -> AcceptedGeneration | None:
        """Return the generation, or ``None`` when its text is damaged."""
        text = decompress_text(self.packed)
        if text is None:
            return None
        return AcceptedGeneration(self.generation, self.digest, text, self.submissions)


class GenerationExchange:
    """Publishes this daemon's generation to its peers and fetches newer ones."""

    __slots__ = ("_membership", "_accepted")

    def __init__(self, membership: Service) -> None:
        self._membership = membership
        self._accepted: AcceptedGeneration | None = None
        membership.handle(GenerationRequest, self._answer)

    def publish(self, accepted: AcceptedGeneration) -> None:
        """Publish the generation that is in force on this daemon."""
        self._accepted = accepted
        head = {"generation": accepted.generation, "digest": accepted.digest}
        self._membership.publish(GENERATION_TOPIC, head)

    async def fetch_newer(self, known: int) -> AcceptedGeneration | None:
        """Fetch a generation newer than ``known`` from the peers.

        Return ``None`` when no peer has one or none of those asked answers with one.
        """
        for vm in self._peers_ahead(known):
            answer = await self._membership.call(
                vm, GenerationRequest(known), CALL_TIMEOUT_S
            )
            if not failed(answer) and answer.generation > known:
                return answer.to_accepted()
        return None

    def _peers_ahead(self, known: int) -> list[str]:
        """Return some of the peers with a newer generation, the newest first."""
        view = self._membership.view(GENERATION_TOPIC)
        ahead = [vm for vm in view if view[vm]["generation"] > known]
        ahead.sort(key=lambda vm: view[vm]["generation"], reverse=True)
        return ahead[:MAX_PEERS_QUERIED]

    async def _answer(self, request: GenerationRequest) -> GenerationBody | Unavailable:
        accepted = self._accepted
        if accepted is None or accepted.generation <= request.known:
            return Unavailable("no newer generation is in force here")
        return GenerationBody.from_accepted(accepted)
