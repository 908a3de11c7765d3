"""Tests of ``fulmarleverd.placement``."""
