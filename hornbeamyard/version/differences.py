"""Differences between two routing documents, without their secret keys."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Collection
from typing import Any

import jsonpatch

# Longer values are cut in lines for people.
MAX_SHOWN_CHARACTERS = 100


def build_patch(
    before: Any, after: Any, secret_names: Collection[str]
) -> list[dict[str, Any]]:
    """Return the JSON Patch (RFC 6902) between two documents.

    Keys are replaced by the start of their SHA-256 in both, so a changed key
    shows, and the patch can't be applied where it concerns keys.

    Parameters
    ----------
    before, after : object
        Parsed JSON.
    secret_names : collection of str
        Names of members whose values are keys.
    """
    patch = jsonpatch.make_patch(
        hide_secrets(before, secret_names), hide_secrets(after, secret_names)
    )
    operations: list[dict[str, Any]] = patch.patch
    return operations


def describe_differences(
    before: Any, after: Any, secret_names: Collection[str]
) -> list[str]:
    """Return one line for each difference between two documents.

    Objects with names are compared by name, because their order in a list
    has no effect. The parameters are those of `build_patch`.
    """
    lines: list[str] = []
    _compare("", before, after, secret_names, lines)
    return lines


def hide_secrets(document: Any, secret_names: Collection[str]) -> Any:
    """Return a copy in which the start of a hash stands for each key.

    Keys are long and random, so they can't be found from it by guessing.
    """
    if isinstance(document, list):
        return [hide_secrets(value, secret_names) for value in document]
    if not isinstance(document, dict):
        return document
    return {
        name: _hash_values(value)
        if name in secret_names
        else hide_secrets(value, secret_names)
        for name, value in document.items()
    }


def _hash_values(value: Any) -> Any:
    if isinstance(value, list):
        return [_hash_values(entry) for entry in value]
    text = json.dumps(value, sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f"sha256 {digest[:8]}..."


def _index_names(values: list[Any]) -> dict[str, Any] | None:
    """Return objects by name, or None if not all have names of their own."""
    indexed: dict[str, Any] = {}
    for value in values:
        name = value.get("name") if isinstance(value, dict) else None
        if not isinstance(name, str) or name in indexed:
            return None
        indexed[name] = value
    return indexed


def _compare(
    place: str,
    old: Any,
    new: Any,
    secret_names: Collection[str],
    lines: list[str],
) -> None:
    if old == new:
        return
    if isinstance(old, list) and isinstance(new, list):
        old_by_name, new_by_name = _index_names(old), _index_names(new)
        if old_by_name is not None and new_by_name is not None:
            old, new = old_by_name, new_by_name
    if not isinstance(old, dict) or not isinstance(new, dict):
        shown = [_show(hide_secrets(v, secret_names)) for v in (old, new)]
        lines.append(f"~ {place}: {shown[0]} -> {shown[1]}")
        return
    for name in sorted(old.keys() | new.keys()):
        inner = f"{place}.{name}" if place else name
        members = [
            _hash_values(document[name])
            if name in secret_names
            else document[name]
            for document in (old, new)
            if name in document
        ]
        if len(members) == 2:
            _compare(inner, members[0], members[1], secret_names, lines)
            continue
        sign = "-" if name in old else "+"
        shown_member = _show(hide_secrets(members[0], secret_names))
        lines.append(f"{sign} {inner}: {shown_member}")


def _show(value: Any) -> str:
    text = json.dumps(value, sort_keys=True)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[: MAX_SHOWN_CHARACTERS - 3]}..."
