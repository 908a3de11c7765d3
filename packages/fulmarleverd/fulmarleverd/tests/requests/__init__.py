"""Tests of ``fulmarleverd.requests``."""
