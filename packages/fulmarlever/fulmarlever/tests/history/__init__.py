"""Tests of ``fulmarlever.history``."""
