"""A simulated fleet on one machine: discovery, proxies, and runs that measure what its size costs."""
