"""The emulated fleet: its topology, its simulated and real proxies, and the processes that run them."""
