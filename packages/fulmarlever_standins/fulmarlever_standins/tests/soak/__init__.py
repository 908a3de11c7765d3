"""Tests of the soak and its seeds."""
