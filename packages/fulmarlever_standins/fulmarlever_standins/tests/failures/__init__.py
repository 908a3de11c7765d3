"""Failure tests on real processes, one module per fault."""
