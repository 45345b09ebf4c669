"""The errors that this project raises on purpose; their common base distinguishes them from defects."""

from __future__ import annotations


class RowandealError(Exception):
    """Base of every error that reports wrong input, not a defect of the program."""


class InvalidValueError(RowandealError, ValueError):
    """A setting or an argument that makes no sense.

    Attributes:
        field: Its path in the settings, or the argument's name.
        problem: The value, and what is wanted instead.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem
