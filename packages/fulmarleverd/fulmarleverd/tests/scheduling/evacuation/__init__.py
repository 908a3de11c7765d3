"""Tests of evacuation."""
