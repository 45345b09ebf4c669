"""A soak test with real processes: many proxies on loopback, overlapping faults, every request checked.

Read `run` first: it sets up backends, discovery, proxies and clients, injects faults, and passes the recorded
history to `history_checker`. `history` defines the records. `shim` makes system calls fail and steps the
clock inside a proxy. The deploy file's command starts the proxies, with the shim in place of the program; the
program itself is not changed.
"""
