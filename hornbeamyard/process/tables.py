"""Output of commands: tables, diffs and JSON."""

from __future__ import annotations

import difflib
import json
import re
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import click

_HASH = re.compile(r"[0-9a-f]{64}")


def print_result(document: Any, as_json: bool, text: str) -> None:
    """Print `document` as JSON if `as_json` is set, else print `text`."""
    if as_json:
        click.echo(json.dumps(document, indent=2, sort_keys=True))
        return
    click.echo(text)


def format_table(
    rows: Iterable[Mapping[str, Any]], columns: Sequence[str]
) -> str:
    """Return rows as a table with aligned columns.

    Parameters
    ----------
    rows : iterable of mapping
    columns : sequence of str
        Keys of the rows, also used as headings.
    """
    cells = [[column.replace("_", " ").upper() for column in columns]]
    cells += [
        [_format_cell(row.get(column)) for column in columns] for row in rows
    ]
    widths = [max(len(row[n]) for row in cells) for n in range(len(columns))]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_diff(before: Any, after: Any) -> str:
    """Return a unified diff of two configuration documents."""
    lines = difflib.unified_diff(
        _list_lines(before),
        _list_lines(after),
        "current",
        "patched",
        lineterm="",
    )
    return "\n".join(lines)


def hide_keys(document: Any) -> Any:
    """Return a copy of a document with shortened key hashes.

    A value that isn't a hash may be a key given by mistake, so it is left
    out completely.
    """
    if isinstance(document, list):
        return [hide_keys(entry) for entry in document]
    if not isinstance(document, dict):
        return document
    return {
        name: _hide(value) if name == "keys" else hide_keys(value)
        for name, value in document.items()
    }


def _list_lines(document: Any) -> list[str]:
    shown = hide_keys(document)
    return json.dumps(shown, indent=2, sort_keys=True).splitlines()


def _hide(value: Any) -> Any:
    if isinstance(value, list):
        return [_hide(entry) for entry in value]
    if isinstance(value, str) and _HASH.fullmatch(value):
        return f"{value[:8]}..."
    return "(not a hash)"


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    return str(value)
