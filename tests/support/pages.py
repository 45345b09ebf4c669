"""Reads the Markdown pages of the project: the rows of their tables, and the code names that they quote."""

from __future__ import annotations

import ast
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.support.code_structure import SourceModule

QUOTED = re.compile(r"`([^`]+)`")
FENCED_BLOCK = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
IDENTIFIER = re.compile(r"[A-Za-z_]\w*(\.\w+)*")
SOURCE_PATH = re.compile(r"[\w./]+\.py")


def table_rows(page: str, heading: str) -> list[list[str]]:
    """Return the cells of the first table with a given header row, without the header.

    Args:
        page: The text of the page.
        heading: The beginning of the header row.

    Raises:
        MissingTableError: The page has no such table.
    """
    lines = page.splitlines()
    start = next((number for number, line in enumerate(lines) if line.startswith(heading)), None)
    if start is None:
        raise MissingTableError(heading)
    rows = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        rows.append([cell.strip() for cell in line.strip().strip("|").split(" | ")])
    return rows


class MissingTableError(ValueError):
    """A page has no table with the given header row."""

    def __init__(self, heading: str) -> None:
        super().__init__(f"the page has no table that begins with {heading!r}")


def quoted(text: str) -> list[str]:
    """Return the texts in backquotes outside fenced blocks."""
    return QUOTED.findall(FENCED_BLOCK.sub("", text))


def source_paths(page: str) -> set[str]:
    """Return the quoted paths of Python modules that include a directory."""
    return {text for text in quoted(page) if SOURCE_PATH.fullmatch(text) and "/" in text}


def code_names(page: str) -> set[str]:
    """Return the quoted code names.

    These are identifiers with an underscore, a dot, or a capital letter after a small one.
    """
    texts = (text.removesuffix("()") for text in quoted(page))
    return {text for text in texts if IDENTIFIER.fullmatch(text) and re.search(r"[_.]|[a-z][A-Z]", text)}


def defined_names(modules: Iterable[SourceModule]) -> set[str]:
    """Return all identifiers and string constants of the modules, and the names of the modules."""
    names: set[str] = set()
    for module in modules:
        names.update((module.path.stem, module.path.name, module.path.parent.name))
        for node in ast.walk(module.tree):
            names.update(_names_of(node))
    return names


def _names_of(node: ast.AST) -> list[str]:
    if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
        return [node.name]
    if isinstance(node, ast.Name):
        return [node.id]
    if isinstance(node, ast.Attribute):
        return [node.attr]
    if isinstance(node, ast.arg):
        return [node.arg]
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    return []
