"""Tests of ``fulmarlever_standins``."""
