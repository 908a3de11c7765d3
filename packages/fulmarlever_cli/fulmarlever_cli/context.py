"""What every command gets besides its own arguments."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass

from fulmarlever_cli.arguments import Arguments
from fulmarlever_cli.client import AdminClient
from fulmarlever_cli.display import Display

DEFAULT_ADMIN = "127.0.0.1:7101"


@dataclass(slots=True)
class Context:
    """The daemons to ask and the form of the output."""

    client: AdminClient
    display: Display

    @classmethod
    def from_arguments(
        cls, args: Arguments, environ: Mapping[str, str] = os.environ
    ) -> Context:
        """Build from the command line, then the environment, then the defaults."""
        named = environ.get("FULMARLEVER_ADMIN", DEFAULT_ADMIN).split(",")
        token = args.token or environ.get("FULMARLEVER_TOKEN", "")
        client = AdminClient(args.admin or named, token)
        return cls(client, Display(args.output == "json"))
