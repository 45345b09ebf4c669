"""Stand-ins for what surrounds a proxy, and the start of real ones: for emulator, soak and tests."""
