"""Tests of term."""
