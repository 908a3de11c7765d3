"""Simulated platform, workers and old setup, with a load generator and fault tests."""
