"""Tests of the soak test's own checks."""
