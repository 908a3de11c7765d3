"""Tests of the scheduler against the stand-in of the Authority platform."""
