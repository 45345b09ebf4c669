"""Runs balancers for the simulator: reads events and writes actions, in batches of JSON lines."""
