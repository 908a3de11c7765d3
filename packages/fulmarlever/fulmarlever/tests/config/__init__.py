"""Tests of ``fulmarlever.config``."""
