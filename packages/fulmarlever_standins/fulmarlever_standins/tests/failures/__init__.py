"""Fault injection tests on real processes, one module for each kind of fault."""
