"""Tests of planning."""
