"""Reading the endpoint list: the errors for invalid entries, and the numbers of zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from proxy.discovery.endpoint_reader import EndpointReader
from proxy.json_values import EntryError
from tests.support.proxy_inputs import HOST, endpoint_entry

if TYPE_CHECKING:
    from collections.abc import Mapping


@pytest.fixture
def reader() -> EndpointReader:
    """Return a reader whose settings list the zones of the default entries."""
    return EndpointReader({"here": 0, "there": 1}, {"k": 0})


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        ({"name": 7}, "name: 7 is not a text"),
        ({"status": "asleep"}, "status: 'asleep' is not one of in_service, terminating, terminated"),
        ({"status": []}, "status: [] is not one of in_service, terminating, terminated"),
        ({"address": "nowhere"}, "address: 'nowhere' is not an address of the form host:port"),
        ({"address": 7}, "address: 7 is not an address of the form host:port"),
        ({"address": f"{HOST}:65536"}, f"address: '{HOST}:65536' is not an address of the form host:port"),
        ({"since_ms": "now"}, "since_ms: 'now' is not a number"),
        ({"zone": []}, "zone: [] is not a text"),
        ({"type": {}}, "type: {} is not a text"),
    ],
)
def test_error_states_the_entry_the_value_and_the_expected_values(
    reader: EndpointReader, change: Mapping[str, object], problem: str
) -> None:
    entries = [endpoint_entry("a", f"{HOST}:1"), endpoint_entry("b", f"{HOST}:2") | dict(change)]
    with pytest.raises(EntryError) as caught:
        reader.read_list({"index": 7, "endpoints": entries})
    assert str(caught.value) == f"endpoints[1].{problem}"


@pytest.mark.parametrize("key", ["name", "status", "address"])
def test_error_states_the_missing_value_of_an_entry(reader: EndpointReader, key: str) -> None:
    entry = endpoint_entry("a", f"{HOST}:1")
    del entry[key]
    with pytest.raises(EntryError, match=rf"endpoints\[0\]\.{key} is missing"):
        reader.read_list({"index": 7, "endpoints": [entry]})


@pytest.mark.parametrize(
    ("message", "problem"),
    [
        ({"endpoints": []}, "index is missing"),
        ({"index": 7}, "endpoints is missing"),
        ({"index": 7, "endpoints": 7}, "endpoints: 7 is not a list"),
        ({"index": 7, "endpoints": ["a"]}, "endpoints[0].entry: 'a' is not an object"),
        ({"index": "x", "endpoints": []}, "index: 'x' is not a whole number"),
        ({"index": None, "endpoints": []}, "index: None is not a whole number"),
    ],
)
def test_error_states_the_invalid_key_of_a_message(
    reader: EndpointReader, message: Mapping[str, object], problem: str
) -> None:
    with pytest.raises(EntryError) as caught:
        reader.read_list(message)
    assert str(caught.value) == problem


def test_list_that_is_not_an_object_is_rejected(reader: EndpointReader) -> None:
    with pytest.raises(EntryError, match="is not an object"):
        reader.read_list([])  # type: ignore[arg-type]  # discovery may send any JSON value


def test_long_values_are_abbreviated_in_errors(reader: EndpointReader) -> None:
    with pytest.raises(EntryError) as caught:
        reader.read_list({"index": "x" * 10_000, "endpoints": []})
    assert len(str(caught.value)) < 100


def test_zones_and_machine_types_get_the_numbers_of_the_settings_or_new_ones(reader: EndpointReader) -> None:
    entries = [endpoint_entry("a", f"{HOST}:1", since_ms=2500), endpoint_entry("b", f"{HOST}:2")]
    entries[1] |= {"zone": "elsewhere", "type": "k"}
    endpoint_list = reader.read_list({"index": 7, "snapshot": True, "endpoints": entries})
    first, second = endpoint_list.endpoints
    assert (endpoint_list.index, endpoint_list.is_complete) == (7, True)
    assert (first.endpoint.zone, first.endpoint.started, first.address) == (0, 2.5, (HOST, 1))
    assert (second.endpoint.zone, second.endpoint.machine_type) == (2, 0)  # 2 is the first unused number
