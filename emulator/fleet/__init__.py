"""The emulated fleet: its topology, its simulated and real proxies, and their processes."""
