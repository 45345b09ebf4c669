"""A stand-in fleet on one machine: discovery, hollow proxies, and runs that measure what the size costs."""
