"""The context that every command gets in addition to its own arguments."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass

from fulmarlever_cli.arguments import Arguments
from fulmarlever_cli.client import AdminClient
from fulmarlever_cli.display import Display

DEFAULT_ADMIN_ADDRESS = "127.0.0.1:7101"


@dataclass(slots=True)
class Context:
    """The client of the daemons and the output of a command."""

    client: AdminClient
    display: Display

    @classmethod
    def from_arguments(
        cls, args: Arguments, environ: Mapping[str, str] = os.environ
    ) -> Context:
        """Build the context from arguments, environment variables and defaults.

        Arguments take precedence over ``FULMARLEVER_ADMIN`` and ``FULMARLEVER_TOKEN``
        in ``environ``, and these over the defaults.
        """
        default_addresses = environ.get(
            "FULMARLEVER_ADMIN", DEFAULT_ADMIN_ADDRESS
        ).split(",")
        token = args.token or environ.get("FULMARLEVER_TOKEN", "")
        client = AdminClient(args.admin or default_addresses, token)
        return cls(client, Display(args.output == "json"))
