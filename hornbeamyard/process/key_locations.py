"""Line numbers of the keys in a file of JSON with comments.

The json5 parser reports no positions, so findings on a parsed document take
their line numbers from a separate scan of the text.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import Any

_TOKEN = re.compile(
    r"""//[^\n]*|/\*.*?\*/"""
    r"""|(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')"""
    r"""|(?P<delimiter>[{}\[\],:])"""
    r"""|(?P<bare>[^\s{}\[\],:"'/]+)""",
    re.DOTALL,
)


_LEADING_COMMENTS = re.compile(r"\A(?:\s*//[^\n]*\n)+")


@dataclass(slots=True)
class KeyLocations:
    """Line numbers of the keys of a document.

    Attributes
    ----------
    lines : dict of str to int
        Line of each key path, such as `router.address`, counted from 1; the
        empty path stands for the document.
    duplicates : list of (str, int)
        Key paths that occur again, with the line of the later occurrence.
    """

    lines: dict[str, int] = field(default_factory=dict)
    duplicates: list[tuple[str, int]] = field(default_factory=list)

    def find_line(self, key_path: str) -> int | None:
        """Return the line of a key path, or of its nearest known parent."""
        while key_path and key_path not in self.lines:
            key_path = key_path.rpartition(".")[0]
        return self.lines.get(key_path)


@dataclass(slots=True)
class _Container:
    """An object or list whose end hasn't been reached yet."""

    key_path: str
    is_list: bool
    # Key path of the next value of an object.
    child: str = ""
    index: int = 0
    expects_key: bool = True


def parse_json5(text: str) -> Any:
    """Return a document of JSON with comments.

    Most files are plain JSON below a comment. The json5 parser, which is
    written in Python and much slower, is imported only for others.

    Raises
    ------
    ValueError
        If the text can't be parsed.
    RecursionError
        If the document is nested too deeply.
    """
    try:
        return json.loads(_LEADING_COMMENTS.sub("", text))
    except ValueError:
        import json5

        return json5.loads(text)


def locate_keys(text: str) -> KeyLocations:
    """Return the line numbers of all keys of a valid document.

    Parameters
    ----------
    text : str
        JSON with comments, accepted by the json5 parser.
    """
    locations = KeyLocations()
    containers: list[_Container] = []
    line = 1
    position = 0
    for match in _TOKEN.finditer(text):
        line += text.count("\n", position, match.start())
        position = match.start()
        delimiter = match["delimiter"]
        if (
            delimiter is None
            and match["string"] is None
            and match["bare"] is None
        ):
            continue
        locations.lines.setdefault("", line)
        if delimiter is None:
            _handle_key_or_scalar(match, containers, line, locations)
        elif delimiter in "{[":
            key_path = _start_value(containers, line, locations)
            containers.append(_Container(key_path, is_list=delimiter == "["))
        elif delimiter in "}]":
            containers.pop()
        elif delimiter == ",":
            containers[-1].index += 1
            containers[-1].expects_key = True
    return locations


def _handle_key_or_scalar(
    match: re.Match[str],
    containers: list[_Container],
    line: int,
    locations: KeyLocations,
) -> None:
    if (
        not containers
        or containers[-1].is_list
        or not containers[-1].expects_key
    ):
        _start_value(containers, line, locations)
        return
    container = containers[-1]
    key = parse_json5(match[0]) if match["string"] is not None else match[0]
    container.child = (
        f"{container.key_path}.{key}" if container.key_path else str(key)
    )
    container.expects_key = False
    if container.child in locations.lines:
        locations.duplicates.append((container.child, line))
    locations.lines.setdefault(container.child, line)


def _start_value(
    containers: list[_Container], line: int, locations: KeyLocations
) -> str:
    if not containers:
        return ""
    container = containers[-1]
    if not container.is_list:
        return container.child
    key_path = f"{container.key_path}[{container.index}]"
    locations.lines.setdefault(key_path, line)
    return key_path
