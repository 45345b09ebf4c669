"""Tests of the soak test: its fault schedule, and its checks of a history."""
