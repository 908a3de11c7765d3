"""An accepted generation of the configuration, as stored and sent between daemons."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field, replace

from fulmarlever.config.reader import configuration_digest, parse_configuration
from fulmarlever.findings import Findings
from fulmarlever.outcomes import Refused
from fulmarlever.structure.configuration import Configuration


@dataclass(slots=True, frozen=True)
class AcceptedGeneration:
    """The YAML text of a generation with the data needed to interpret it.

    ``digest`` is the digest of the text. ``submissions`` maps the name of a job to its
    submission time as Unix time in seconds. Relative deadlines start there, so every
    daemon gets the same deadlines from the same text.
    """

    generation: int
    digest: str
    text: str
    submissions: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_wire(cls, data: dict) -> AcceptedGeneration:
        """Build a generation from its wire form."""
        return cls(**{name: data[name] for name in cls.__slots__ if name in data})

    def to_wire(self) -> dict:
        """Return the form sent between daemons."""
        return asdict(self)

    def to_configuration(self) -> Configuration | Findings | Refused:
        """Parse the text into a configuration with this generation's number.

        Return the findings in the text, or ``Refused`` when the text does not match
        the digest.
        """
        if configuration_digest(self.text) != self.digest:
            return Refused("the text does not match its digest")
        file_name = f"generation-{self.generation}"
        cfg = parse_configuration(self.text, file_name, 0.0, self.submissions)
        if isinstance(cfg, Findings):
            return cfg
        return replace(cfg, generation=self.generation)
