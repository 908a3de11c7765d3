"""Tests of ``fulmarlever_cli``."""
