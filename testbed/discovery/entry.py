"""One entry of the endpoint list, as discovery's protocol describes it."""

from __future__ import annotations

from typing import Any

Entry = dict[str, Any]  # a backend: a JSON object
