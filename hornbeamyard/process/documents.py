"""Reading of JSON documents that come from outside the fleet.

Python's parser accepts more than can be stored or sent on: bytes that aren't
UTF-8, halves of surrogate pairs, numbers that JSON doesn't have, names that
occur twice in an object, and nesting that exceeds the stack of whatever walks
through the document later.
"""

from __future__ import annotations

import json
import re
from typing import Any, NoReturn

from result import Err, Ok, Result

# Maximum body of a call to a controller; enough for thousands of routes.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Nesting of arrays and objects. Documents of the fleet have fewer than ten.
MAX_DEPTH = 64
_SURROGATE = re.compile("[\ud800-\udfff]")


def read_json(data: bytes) -> Result[Any, str]:
    """Parse a JSON document of which all texts can be encoded.

    Parameters
    ----------
    data : bytes
        UTF-8, with or without a byte order mark.

    Returns
    -------
    Result of object or str
        The error says why the document can't be read. It doesn't show texts
        of the document, which may be secret.
    """
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        return Err(f"is not UTF-8 at byte {error.start}: {error.reason}")
    try:
        document = json.loads(
            text,
            parse_constant=_refuse_constant,
            object_pairs_hook=_build_object,
        )
    except RecursionError:
        return Err(f"is nested more than {MAX_DEPTH} levels deep")
    except ValueError as error:
        return Err(f"is not JSON: {error}")
    reason = _find_fault(document)
    return Ok(document) if reason is None else Err(reason)


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object; readers differ in which of two values they take."""
    result = dict(pairs)
    if len(result) < len(pairs):
        raise ValueError("a name occurs twice in an object")
    return result


def _find_fault(document: Any) -> str | None:
    """Return why a parsed document can't be used, if it can't."""
    level = [document]
    for _ in range(MAX_DEPTH):
        if not level:
            return None
        inner: list[Any] = []
        for value in level:
            if isinstance(value, str) and _SURROGATE.search(value):
                return "contains a text with half of a surrogate pair"
            if isinstance(value, dict):
                inner += value.keys()
                inner += value.values()
            elif isinstance(value, list):
                inner += value
        level = inner
    return f"is nested more than {MAX_DEPTH} levels deep" if level else None
