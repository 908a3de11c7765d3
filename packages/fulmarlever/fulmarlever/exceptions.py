"""The exceptions of fulmarlever, for faults of the program and its edges."""

from __future__ import annotations


class FulmarleverError(Exception):
    """The base of every exception that fulmarlever raises."""


class FrameError(FulmarleverError):
    """A frame from a peer is malformed, too large or not authentic."""


class KernelError(FulmarleverError):
    """A service was not found or could not be started."""
