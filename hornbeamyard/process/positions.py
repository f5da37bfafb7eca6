"""Lines and columns in the text of a JSON document.

The json module reports no positions of values. Only containers on the way to
the wanted positions are read member by member; the parser in C skips all other
values, so that a document of 4 MB takes a fraction of a second. Documents with
comments are read by `key_locations` instead.
"""

from __future__ import annotations

import bisect
import codecs
import itertools
import json
import re
from collections.abc import Iterable, Iterator
from typing import Any

from result import Err

from .documents import read_json

# Keys and indexes from the root of a document to a value.
Path = tuple[str | int, ...]
# Line and column, counted from 1; columns are characters.
Position = tuple[int, int]

_DECODER = json.JSONDecoder()
_SPACE = re.compile(r"[ \t\n\r]*")
_SEPARATOR = re.compile(r"[ \t\n\r]*[,:]?[ \t\n\r]*")


def locate_values(data: bytes, paths: Iterable[Path]) -> dict[Path, Position]:
    """Return the positions of values in a document.

    Parameters
    ----------
    data : bytes
        JSON that `read_json` accepts.
    paths : iterable of Path

    Returns
    -------
    dict of Path to Position
        Of the key for a member of an object, otherwise of the value. A path
        that leads to no value has the position of its nearest parent.
    """
    text = data.decode("utf-8-sig")
    wanted = set(paths)
    if not wanted:
        return {}
    tree: dict[str | int, Any] = {}
    for path in wanted:
        node = tree
        for key in path:
            node = node.setdefault(key, {})
    start = _skip(_SPACE, text, 0)
    offsets: dict[Path, int] = {(): start}
    _locate_members(text, start, (), tree, offsets)
    line_starts = _find_line_starts(text)
    found = {}
    for path in wanted:
        known = path
        while known not in offsets:
            known = known[:-1]
        found[path] = _find_position(line_starts, offsets[known])
    return found


def locate_fault(data: bytes) -> Position | None:
    """Return the position of the fault for which `read_json` refuses a text.

    Returns
    -------
    Position or None
        None if the fault has no single place, such as too deep nesting.
    """
    # Errors count from behind a byte order mark, if there is one.
    data = data.removeprefix(codecs.BOM_UTF8)
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        valid = data[: error.start].decode()
        return _find_position(_find_line_starts(valid), len(valid))
    try:
        json.loads(text)
        offset = _locate_refused(text)
    except json.JSONDecodeError as error:
        return error.lineno, error.colno
    except (RecursionError, ValueError):
        # Nested too deeply, or a number with too many digits.
        return None
    if offset is None:
        return None
    return _find_position(_find_line_starts(text), offset)


def _locate_members(
    text: str,
    start: int,
    path: Path,
    tree: dict[str | int, Any],
    offsets: dict[Path, int],
) -> None:
    """Add the offsets of those members of a container that `tree` names."""
    if not tree or text[start] not in "{[":
        return
    remaining = len(tree)
    for key, member, value, _ in _list_members(text, start):
        if key not in tree:
            continue
        offsets[*path, key] = member
        _locate_members(text, value, (*path, key), tree[key], offsets)
        remaining -= 1
        if not remaining:
            return


def _locate_refused(text: str) -> int | None:
    """Return the offset of the innermost value with the document's fault."""
    start = _skip(_SPACE, text, 0)
    _, end = _DECODER.raw_decode(text, start)
    reason = _find_reason(text[start:end])
    if reason is None or "levels deep" in reason:
        return None
    while text[start] in "{[":
        inner = None
        seen: set[str | int] = set()
        for key, member, value, end in _list_members(text, start):
            if key in seen:
                inner = inner or member
            seen.add(key)
            has_key = text[start] == "{"
            if has_key and _find_reason(json.dumps(key)) == reason:
                return member
            if _find_reason(text[value:end]) == reason:
                inner = value
                break
        if inner is None:
            return start
        if text[inner] not in "{[":
            return inner
        start = inner
    return start


def _find_reason(text: str) -> str | None:
    parsed = read_json(text.encode())
    return parsed.err_value if isinstance(parsed, Err) else None


def _list_members(
    text: str, start: int
) -> Iterator[tuple[str | int, int, int, int]]:
    """Yield the members of the container at an offset.

    Yields
    ------
    tuple of (str or int, int, int, int)
        Key or index; offsets of the member, of its value and of its end.
    """
    is_list = text[start] == "["
    index = 0
    offset = _skip(_SPACE, text, start + 1)
    while text[offset] not in "]}":
        key: str | int = index
        value = offset
        if not is_list:
            key, value = _DECODER.raw_decode(text, offset)
            value = _skip(_SEPARATOR, text, value)
        _, end = _DECODER.raw_decode(text, value)
        yield key, offset, value, end
        offset = _skip(_SEPARATOR, text, end)
        index += 1


def _skip(pattern: re.Pattern[str], text: str, offset: int) -> int:
    match = pattern.match(text, offset)
    return match.end() if match else offset


def _find_line_starts(text: str) -> list[int]:
    lengths = (len(line) + 1 for line in text.split("\n"))
    return [0, *itertools.accumulate(lengths)]


def _find_position(line_starts: list[int], offset: int) -> Position:
    line = bisect.bisect_right(line_starts, offset)
    return line, offset - line_starts[line - 1] + 1
