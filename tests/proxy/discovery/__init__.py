"""Tests of the endpoint list and of the watch that receives it."""
