"""The comparison of the cost of simulated proxies with that of real ones."""

from __future__ import annotations

import pytest

from emulator.measurement.control_cost import EventCost, ProxyCost


def test_idle_cost_is_subtracted_from_real_and_simulated_proxies() -> None:
    idle = EventCost(1, 10.0, ProxyCost(1.0, 0.0), ProxyCost(0.0, 0.0))
    event = EventCost(5, 5.0, ProxyCost(0.3, 0.0), ProxyCost(0.1, 0.0)).with_net_cost(idle).as_dict()
    assert event["real"] == {"processor": 0.3, "bytes": 0.0, "processor_net": pytest.approx(0.2)}
    assert event["hollow"] == {"processor": 0.1, "bytes": 0.0, "processor_net": pytest.approx(0.1)}
    assert event["difference_percent"] == {
        "processor": pytest.approx(-200.0 / 3.0),
        "bytes": None,
        "processor_net": pytest.approx(-50.0),
    }
