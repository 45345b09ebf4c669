"""Tests of the project; each package mirrors one of the project's packages."""
