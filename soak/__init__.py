"""A soak test with real processes: many proxies on loopback, overlapping faults, every request checked.

Read `run` first: it sets up backends, discovery, proxies and clients, starts the fault injection, and gives
the history to `history_checker`. `history` describes what is recorded; `shim` makes system calls fail and
steps the clock inside a proxy. The proxies are started by the deploy file's command with the shim in place
of the program; the program itself is not changed.
"""
