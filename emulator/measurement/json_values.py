"""The types of plain values that results are made of, as JSON holds them."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    JsonValue: TypeAlias = bool | int | float | str | Sequence["JsonValue"] | Mapping[str, "JsonValue"] | None
    JsonObject: TypeAlias = dict[str, JsonValue]
