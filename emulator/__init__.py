"""Simulates a fleet on one machine, and measures how the cost of discovery and proxies grows with it."""
