"""Reads the memory of another process from `/proc`."""

from __future__ import annotations

from pathlib import Path

BYTES_PER_KB = 1024
PEAK_FIELD = "VmHWM"


def peak_resident_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had so far, in bytes.

    The kernel records the peak itself, so that a peak between two calls is not missed.

    Raises:
        OSError: There is no such process.
    """
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields[PEAK_FIELD].split()[0]) * BYTES_PER_KB


def mapped_files(pid: int) -> set[str]:
    """Return the paths of the files that a process has mapped, such as its libraries.

    Raises:
        OSError: There is no such process.
    """
    lines = Path(f"/proc/{pid}/maps").read_text(encoding="utf-8").splitlines()
    return {line[line.index("/") :] for line in lines if "/" in line}
