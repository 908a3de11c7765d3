"""Tests of ``fulmarleverd.peers``."""
