"""Lines of the keys in a file of JSON with comments.

The json5 parser reports no positions, so that findings on a parsed document
get their line from here.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import json5

_TOKEN = re.compile(
    r"""//[^\n]*|/\*.*?\*/"""
    r"""|(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')"""
    r"""|(?P<mark>[{}\[\],:])"""
    r"""|(?P<bare>[^\s{}\[\],:"'/]+)""",
    re.DOTALL,
)


@dataclass(slots=True)
class KeyLocations:
    """Where the keys of a document stand.

    Attributes
    ----------
    lines : dict of str to int
        Line of each key path, such as `router.address`, from 1; the empty
        path is the document.
    duplicates : list of (str, int)
        Key paths that occur again, with the line of the later one.
    """

    lines: dict[str, int] = field(default_factory=dict)
    duplicates: list[tuple[str, int]] = field(default_factory=list)

    def find_line(self, key_path: str) -> int | None:
        """Return the line of a key path, or of the nearest path above."""
        while key_path and key_path not in self.lines:
            key_path = key_path.rpartition(".")[0]
        return self.lines.get(key_path)


@dataclass(slots=True)
class _Level:
    key_path: str
    is_list: bool
    # Path of the value that comes next.
    child: str = ""
    index: int = 0
    expects_key: bool = True


def locate_keys(text: str) -> KeyLocations:
    """Return the lines of all keys of a valid document.

    Parameters
    ----------
    text : str
        JSON with comments that the json5 parser accepts.
    """
    locations = KeyLocations()
    levels: list[_Level] = []
    line = 1
    position = 0
    for match in _TOKEN.finditer(text):
        line += text.count("\n", position, match.start())
        position = match.start()
        mark = match["mark"]
        if mark is None and match["string"] is None and match["bare"] is None:
            continue
        locations.lines.setdefault("", line)
        if mark is None:
            _take_text(match, levels, line, locations)
        elif mark in "{[":
            key_path = _start_value(levels, line, locations)
            levels.append(_Level(key_path, is_list=mark == "["))
        elif mark in "}]":
            levels.pop()
        elif mark == ",":
            levels[-1].index += 1
            levels[-1].expects_key = True
    return locations


def _take_text(
    match: re.Match[str],
    levels: list[_Level],
    line: int,
    locations: KeyLocations,
) -> None:
    if not levels or levels[-1].is_list or not levels[-1].expects_key:
        _start_value(levels, line, locations)
        return
    level = levels[-1]
    key = json5.loads(match[0]) if match["string"] is not None else match[0]
    level.child = f"{level.key_path}.{key}" if level.key_path else str(key)
    level.expects_key = False
    if level.child in locations.lines:
        locations.duplicates.append((level.child, line))
    locations.lines.setdefault(level.child, line)


def _start_value(
    levels: list[_Level], line: int, locations: KeyLocations
) -> str:
    if not levels:
        return ""
    level = levels[-1]
    if not level.is_list:
        return level.child
    key_path = f"{level.key_path}[{level.index}]"
    locations.lines.setdefault(key_path, line)
    return key_path
