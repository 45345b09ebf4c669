"""Tests of the testbed."""
