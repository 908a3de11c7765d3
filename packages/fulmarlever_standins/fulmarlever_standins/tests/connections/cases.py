"""The table of crowds, which the tests of both interfaces use."""

from __future__ import annotations

from fulmarlever_standins.tests.connections.base import FEW_FDS, MAX_FDS

# The name of the case, the kinds of clients and the limit of descriptors.
CASES = (
    ("heads without end", ("head without end",), MAX_FDS),
    ("heads over the limit", ("head over the limit",), MAX_FDS),
    ("empty lines without end", ("empty lines",), FEW_FDS),
    ("lines without end", ("line without end",), FEW_FDS),
    ("bodies at once", ("body at once",), MAX_FDS),
    ("bodies in pieces", ("body in pieces",), MAX_FDS),
    ("large chunks", ("large chunks",), MAX_FDS),
    ("small chunks", ("small chunks",), MAX_FDS),
    ("heads and small chunks", ("head without end", "small chunks"), MAX_FDS),
    (
        "everything with few descriptors",
        (
            "body at once",
            "empty lines",
            "large chunks",
            "head without end",
            "line without end",
            "small chunks",
            "body in pieces",
            "head over the limit",
        ),
        FEW_FDS,
    ),
)
