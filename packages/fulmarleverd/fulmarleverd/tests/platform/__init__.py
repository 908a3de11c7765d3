"""Tests of ``fulmarleverd.platform``."""
