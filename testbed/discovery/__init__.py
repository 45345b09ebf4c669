"""A stand-in for discovery: the endpoint list, its versions and the watches on it (PROTOCOL, Discovery)."""
