"""Tests of the project: each package here mirrors one of the project's packages."""
