"""The errors that this project raises on purpose: one base, so that a caller can tell them from defects."""

from __future__ import annotations


class RowandealError(Exception):
    """Base of every error that says that input, not the program, is at fault."""


class InvalidValueError(RowandealError, ValueError):
    """A setting or an argument that makes no sense.

    `field` is its path in the settings or the argument's name, `problem` what is wrong with it.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem
