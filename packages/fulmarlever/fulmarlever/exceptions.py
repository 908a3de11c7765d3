"""The exceptions of fulmarlever.

Expected failures are returned as values, see :mod:`fulmarlever.outcomes`.
"""

from __future__ import annotations


class FulmarleverError(Exception):
    """The base class of the exceptions of fulmarlever."""


class FrameError(FulmarleverError):
    """Raised for a frame of a peer that is malformed, too large or not authentic."""


class KernelError(FulmarleverError):
    """Raised for a service, message or other item that is unknown or registered twice."""
