"""The errors for invalid input; their common base class distinguishes them from defects of the program."""

from __future__ import annotations


class RowandealError(Exception):
    """Base of all errors that report invalid input, not a defect of the program."""


class InvalidValueError(RowandealError, ValueError):
    """A setting or an argument has an invalid value.

    Attributes:
        field: The path of the setting, or the name of the argument.
        problem: The value, and what is expected instead.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem
