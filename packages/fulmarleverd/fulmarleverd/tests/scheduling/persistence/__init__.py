"""Tests of persistence."""
