"""Tests of ``fulmarleverd.storage``."""
