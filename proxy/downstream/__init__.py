"""Clients' side of the proxy: the listener, its connections, and the requests that come in on them."""
