"""Load: requests at scheduled times, and watches on a registry."""
