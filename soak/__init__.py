"""A soak test over real processes: many proxies on loopback, overlapping troubles, each request judged.

Read `run` first: it sets up backends, discovery, proxies and clients, lets the troubles of `schedule` loose,
and hands what was recorded to `judge`. `records` holds what is recorded; `shim` lets system calls fail and
steps the clock inside a proxy. The proxies run by the deploy file's command with the shim in the place of
the program, and nothing in the program knows that.
"""
