"""Tests of the calls to workers."""
