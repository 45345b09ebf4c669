"""Load: calls at scheduled times, and watches on discovery."""
