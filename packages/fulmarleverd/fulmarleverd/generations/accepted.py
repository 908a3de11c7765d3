"""One accepted generation as it is stored and sent between daemons."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field, replace

from fulmarlever.config.reader import configuration_digest, parse_configuration
from fulmarlever.findings import Findings
from fulmarlever.outcomes import Refused
from fulmarlever.structure.configuration import Configuration


@dataclass(slots=True, frozen=True)
class Accepted:
    """The text of a generation and what its meaning depends on.

    ``submissions`` maps a job to the Unix time from which its relative deadline
    counts, so that every daemon reads the same deadline from the same text.
    """

    generation: int
    digest: str
    text: str
    submissions: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_wire(cls, data: dict) -> Accepted:
        """Build a generation from its wire form."""
        return cls(**{name: data[name] for name in cls.__slots__ if name in data})

    def to_wire(self) -> dict:
        """Return the form sent between daemons."""
        return asdict(self)

    def to_configuration(self) -> Configuration | Findings | Refused:
        """Read the text into the configuration with this generation's number.

        A text that is not the one that the digest was made from is refused.
        """
        if configuration_digest(self.text) != self.digest:
            return Refused("its text is damaged")
        file_name = f"generation-{self.generation}"
        cfg = parse_configuration(self.text, file_name, 0.0, self.submissions)
        if isinstance(cfg, Findings):
            return cfg
        return replace(cfg, generation=self.generation)
