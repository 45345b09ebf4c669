"""Tests of the whole project; each package here mirrors one of the project's."""
