"""Calls to child processes, and their errors."""

from __future__ import annotations

import pytest

from emulator.fleet import topology
from testbed.child_process import CallFailedError, ChildEndedError, ChildProcess
from testbed.discovery.registry import Registry


def test_an_error_in_a_child_is_raised_in_its_parent() -> None:
    with ChildProcess(Registry, topology.build(1, 5, 1).entries) as child:
        with pytest.raises(CallFailedError, match="KeyError"):
            child.call("endpoint_traffic", "odd")
        assert child.call("usage").open_watches == 0
        child.close()
        with pytest.raises(ChildEndedError):
            child.call("usage")
