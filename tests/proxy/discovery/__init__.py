"""Tests of the endpoint list and of the watch that brings it."""
