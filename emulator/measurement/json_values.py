"""Type aliases for JSON values, as they are written to result files."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    JsonValue: TypeAlias = bool | int | float | str | Sequence["JsonValue"] | Mapping[str, "JsonValue"] | None
    JsonObject: TypeAlias = dict[str, JsonValue]
