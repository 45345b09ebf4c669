"""The runs, one file each; every one has `run(options)`, which writes a result and returns its figures."""
