"""A test implementation of the discovery service: a versioned endpoint list, and watches on it over HTTP."""
