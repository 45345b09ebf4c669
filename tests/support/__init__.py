"""Fakes, scripted peers and helpers that several test modules use."""
