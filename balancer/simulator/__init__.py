"""Runs balancers on the simulator's wire: batches of JSON lines in, actions out; it decides nothing."""
