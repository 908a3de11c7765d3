"""The exceptions of fulmarlever.

Expected failures are returned as values, see :mod:`fulmarlever.outcomes`.
"""

from __future__ import annotations


class FulmarleverError(Exception):
    """The base class of the exceptions of fulmarlever."""


class FrameError(FulmarleverError):
    """Raised for a frame of a peer that is malformed, too large or not authentic."""


class KernelError(FulmarleverError):
    """Raised for an unknown service or other item, or one that is registered twice."""
