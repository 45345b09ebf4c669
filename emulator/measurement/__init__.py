"""Measurement: costs, latencies and delays, their budgets, and the result files."""
