"""The endpoint list: the watch on discovery, and how its entries are read."""
