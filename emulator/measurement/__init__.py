"""Measurement: what is counted, the budgets it is held to, and the result files."""
