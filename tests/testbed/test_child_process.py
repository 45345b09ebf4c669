"""Tests of calls to child processes and of their errors."""

from __future__ import annotations

import pytest

from emulator.fleet import topology
from testbed.child_process import CallFailedError, ChildEndedError, ChildProcess
from testbed.discovery.registry import Registry


def test_parent_receives_the_error_of_a_call_and_of_a_closed_child() -> None:
    with ChildProcess(Registry, topology.build(1, 5, 1).entries) as child:
        with pytest.raises(CallFailedError, match="KeyError"):
            child.call("endpoint_traffic", "odd")
        assert child.call("usage").open_watches == 0
        child.close()
        with pytest.raises(ChildEndedError):
            child.call("usage")
