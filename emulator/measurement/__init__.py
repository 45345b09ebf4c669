"""Measurement: what is counted, the budgets for it, and the result files."""
