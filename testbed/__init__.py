"""Stub backends, a discovery registry and process control for the emulator, the soak test and the tests."""
