"""Tests of the soak test's invariants, and soak tests with fixed seeds."""
