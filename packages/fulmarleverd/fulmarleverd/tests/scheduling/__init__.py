"""Tests of ``fulmarleverd.scheduling``."""
