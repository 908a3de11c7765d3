"""Tests of ``fulmarlever``."""
