"""Checks of nested documents that collect all findings with their place."""

from __future__ import annotations

import difflib
import ipaddress
import re
import reprlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class Finding:
    """One fault of a document.

    Attributes
    ----------
    key_path : str
        Path of the keys, such as `router.address`; empty for the document.
    message : str
        The bad value and what is accepted.
    line : int or None
        Line of the file, where the parser tells it.
    """

    key_path: str
    message: str
    line: int | None = None

    def __str__(self) -> str:
        where = self.key_path or "document"
        if self.line is not None:
            where = f"line {self.line}: {where}"
        return f"{where}: {self.message}"


# Returns what is accepted when the value is not, else None.
Validator = Callable[[Any], str | None]


@dataclass(slots=True, frozen=True)
class Option:
    """A key of an object.

    Attributes
    ----------
    validator : callable
    required : bool
    secret : bool
        Whether a value may be a secret, which findings then don't show.
    """

    validator: Validator
    required: bool = False
    secret: bool = False


@dataclass(slots=True, frozen=True)
class Section:
    """A key whose value is an object with known keys."""

    options: Mapping[str, Option | Section | Table]
    required: bool = False


@dataclass(slots=True, frozen=True)
class Table:
    """A key whose value is an object with free keys and like values."""

    key: Validator
    value: Option | Section
    required: bool = False


Node = Option | Section | Table


def check_document(document: Any, section: Section) -> list[Finding]:
    """Return all findings on a document.

    Parameters
    ----------
    document : object
        Parsed JSON.
    section : Section
        The keys that are accepted.

    Returns
    -------
    list of Finding
        Empty when the document is valid.
    """
    findings: list[Finding] = []
    _check_node(document, section, "", findings)
    return findings


def _check_node(
    value: Any, node: Node, key_path: str, findings: list[Finding]
) -> None:
    if isinstance(node, Option):
        accepted = node.validator(value)
        if accepted is not None:
            shown = _show_type(value) if node.secret else _show(value)
            findings.append(
                Finding(key_path, f"{shown} is not accepted; give {accepted}")
            )
        return
    if not isinstance(value, dict):
        # The value may be a secret in the wrong place, so it isn't shown.
        findings.append(
            Finding(
                key_path,
                f"{_show_type(value)} is not accepted; give an object",
            )
        )
        return
    if isinstance(node, Table):
        _check_table(value, node, key_path, findings)
        return
    _check_section(value, node, key_path, findings)


def _check_section(
    value: dict[str, Any],
    node: Section,
    key_path: str,
    findings: list[Finding],
) -> None:
    for key, child in node.options.items():
        if key in value:
            _check_node(value[key], child, _join(key_path, key), findings)
        elif child.required:
            findings.append(
                Finding(_join(key_path, key), "is missing and is required")
            )
    for key in value:
        if key in node.options:
            continue
        near = difflib.get_close_matches(key, list(node.options), n=1)
        hint = (
            f"did you mean {near[0]!r}?"
            if near
            else f"known keys are {', '.join(sorted(node.options))}"
        )
        findings.append(
            Finding(_join(key_path, key), f"is not a known key; {hint}")
        )


def _check_table(
    value: dict[str, Any], node: Table, key_path: str, findings: list[Finding]
) -> None:
    for key, entry in value.items():
        accepted = node.key(key)
        if accepted is not None:
            findings.append(
                Finding(
                    _join(key_path, key),
                    f"{key!r} is not accepted as a name; give {accepted}",
                )
            )
        _check_node(entry, node.value, _join(key_path, key), findings)


def _join(key_path: str, key: str) -> str:
    return f"{key_path}.{key}" if key_path else key


def _show(value: Any) -> str:
    if isinstance(value, dict | list):
        return _show_type(value)
    return reprlib.repr(value)


def _show_type(value: Any) -> str:
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return f"a list of {len(value)} values"
    if isinstance(value, str):
        return f"a text of {len(value)} characters"
    return "null" if value is None else "a number or flag"


# ---- validators -----------------------------------------------------------

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_HASH = re.compile(r"[0-9a-f]{64}")


def check_name(value: Any) -> str | None:
    """Accept names of up to 63 letters, digits, dots, hyphens and so on."""
    if isinstance(value, str) and _NAME.fullmatch(value):
        return None
    return (
        "a name of 1 to 63 letters, digits, '.', '_' or '-' that starts "
        "with a letter or digit"
    )


def check_string(value: Any) -> str | None:
    """Accept text that is not empty."""
    if isinstance(value, str) and value:
        return None
    return "a text that is not empty"


def check_file_path(value: Any) -> str | None:
    """Accept the path of a file, not what is in it."""
    if isinstance(value, str) and value and value.isprintable():
        return None
    return "the path of a file"


def check_object(value: Any) -> str | None:
    """Accept objects, whatever is in them."""
    return None if isinstance(value, dict) else "an object"


def check_boolean(value: Any) -> str | None:
    """Accept true and false."""
    return None if isinstance(value, bool) else "true or false"


def check_hash(value: Any) -> str | None:
    """Accept a SHA-256 hash in lower-case hexadecimal digits."""
    if isinstance(value, str) and _HASH.fullmatch(value):
        return None
    return "the SHA-256 of a key as 64 lower-case hexadecimal digits"


def check_address(value: Any) -> str | None:
    """Accept an IP address and a port, such as `10.0.0.1:8080`."""
    accepted = "an IP address and a port, such as '10.0.0.1:8080'"
    if not isinstance(value, str):
        return accepted
    host, _, port = value.rpartition(":")
    if ":" in host and not (host.startswith("[") and host.endswith("]")):
        return accepted
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return accepted
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_port or not 0 < int(port) <= 65535:
        return accepted
    return None


def check_url(value: Any) -> str | None:
    """Accept `http://` with an IP address and a port."""
    if isinstance(value, str) and value.startswith("http://"):
        rest = value.removeprefix("http://")
        if check_address(rest) is None:
            return None
    return "a URL with an IP address, such as 'http://10.0.0.1:9000'"


def check_choice(*choices: str) -> Validator:
    """Return a validator that accepts one of `choices`."""

    def check(value: Any) -> str | None:
        if isinstance(value, str) and value in choices:
            return None
        return "one of " + ", ".join(repr(choice) for choice in choices)

    return check


def check_number(least: float, most: float, unit: str = "") -> Validator:
    """Return a validator that accepts numbers from `least` to `most`."""
    suffix = f" {unit}" if unit else ""

    def check(value: Any) -> str | None:
        is_number = isinstance(value, int | float)
        is_number = is_number and not isinstance(value, bool)
        if is_number and least <= value <= most:
            return None
        return f"a number from {least:g} to {most:g}{suffix}"

    return check


def check_integer(least: int, most: int, unit: str = "") -> Validator:
    """Return a validator that accepts integers from `least` to `most`."""
    suffix = f" {unit}" if unit else ""

    def check(value: Any) -> str | None:
        is_whole = isinstance(value, int) and not isinstance(value, bool)
        if is_whole and least <= value <= most:
            return None
        return f"a whole number from {least} to {most}{suffix}"

    return check


def check_list(validator: Validator, least: int = 0) -> Validator:
    """Return a validator that accepts lists of accepted values."""

    def check(value: Any) -> str | None:
        if not isinstance(value, list) or len(value) < least:
            return f"a list of at least {least} values"
        for entry in value:
            accepted = validator(entry)
            if accepted is not None:
                return f"a list in which each value is {accepted}"
        return None

    return check
