"""Backends' side of the proxy: attempts, the connections that carry them, and the pool that keeps those."""
