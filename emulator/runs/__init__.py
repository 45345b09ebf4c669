"""The runs of the emulator; the module of each run has `run(options)`, which writes its result file."""
