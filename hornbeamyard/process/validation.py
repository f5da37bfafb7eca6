"""Validation of nested documents; collects all findings with their keys."""

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
    """One error in a document.

    Findings on a configuration patch are stored in the replicated state (see
    `hornbeamyard.version.state`), so the texts in this module don't change.

    Attributes
    ----------
    key_path : str
        Keys from the root, such as `router.address`; empty for the whole
        document.
    message : str
        What is wrong with the value, and what is accepted.
    line : int or None
        Line in the file, counted from 1, if it is known.
    column : int or None
        Column in the line, counted from 1, if it is known.
    """

    key_path: str
    message: str
    line: int | None = None
    column: int | None = None

    def __str__(self) -> str:
        where = self.key_path or "document"
        if self.column is not None:
            where = f"line {self.line}, column {self.column}: {where}"
        elif self.line is not None:
            where = f"line {self.line}: {where}"
        return f"{where}: {self.message}"


# Returns None for a valid value, else a description of valid values.
Validator = Callable[[Any], str | None]


@dataclass(slots=True, frozen=True)
class Option:
    """A key whose value is checked by one validator.

    Attributes
    ----------
    validator : callable
    required : bool
    secret : bool
        Whether the value may be a secret; findings then show only its type.
    """

    validator: Validator
    required: bool = False
    secret: bool = False


@dataclass(slots=True, frozen=True)
class Section:
    """A key whose value is an object with fixed keys."""

    options: Mapping[str, Option | Section | Table]
    required: bool = False


@dataclass(slots=True, frozen=True)
class Table:
    """A key whose value is an object with arbitrary keys.

    Attributes
    ----------
    key : callable
        Validator of the keys.
    value : Option or Section
        Checks of each value.
    required : bool
    """

    key: Validator
    value: Option | Section
    required: bool = False


Node = Option | Section | Table


def check_document(document: Any, section: Section) -> list[Finding]:
    """Check a parsed JSON document against a schema.

    Parameters
    ----------
    document : object
        Parsed JSON.
    section : Section
        Schema of the document.

    Returns
    -------
    list of Finding
        Empty when the document is valid.
    """
    findings: list[Finding] = []
    _validate_node(document, section, "", findings)
    return findings


def _validate_node(
    value: Any, node: Node, key_path: str, findings: list[Finding]
) -> None:
    if isinstance(node, Option):
        expected = node.validator(value)
        if expected is not None:
            description = (
                _describe_type(value)
                if node.secret
                else _describe_value(value)
            )
            findings.append(
                Finding(
                    key_path, f"{description} is not accepted; give {expected}"
                )
            )
        return
    if not isinstance(value, dict):
        # The value may be a misplaced secret, so only its type is shown.
        findings.append(
            Finding(
                key_path,
                f"{_describe_type(value)} is not accepted; give an object",
            )
        )
        return
    if isinstance(node, Table):
        _validate_table(value, node, key_path, findings)
        return
    _validate_section(value, node, key_path, findings)


def _validate_section(
    value: dict[str, Any],
    node: Section,
    key_path: str,
    findings: list[Finding],
) -> None:
    for key, child in node.options.items():
        if key in value:
            _validate_node(
                value[key], child, _join_keys(key_path, key), findings
            )
        elif child.required:
            findings.append(
                Finding(
                    _join_keys(key_path, key), "is missing and is required"
                )
            )
    for key in value:
        if key in node.options:
            continue
        matches = difflib.get_close_matches(key, list(node.options), n=1)
        hint = (
            f"did you mean {matches[0]!r}?"
            if matches
            else f"known keys are {', '.join(sorted(node.options))}"
        )
        findings.append(
            Finding(_join_keys(key_path, key), f"is not a known key; {hint}")
        )


def _validate_table(
    value: dict[str, Any], node: Table, key_path: str, findings: list[Finding]
) -> None:
    for key, entry in value.items():
        expected = node.key(key)
        if expected is not None:
            findings.append(
                Finding(
                    _join_keys(key_path, key),
                    f"{key!r} is not accepted as a name; give {expected}",
                )
            )
        _validate_node(entry, node.value, _join_keys(key_path, key), findings)


def _join_keys(key_path: str, key: str) -> str:
    return f"{key_path}.{key}" if key_path else key


def _describe_value(value: Any) -> str:
    if isinstance(value, dict | list):
        return _describe_type(value)
    return reprlib.repr(value)


def _describe_type(value: Any) -> str:
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
# Control characters, and halves of surrogate pairs, which have no encoding.
_UNSENDABLE = re.compile("[\x00-\x1f\x7f\ud800-\udfff]")


def check_name(value: Any) -> str | None:
    """Accept names of 1 to 63 letters, digits, `.`, `_` and `-`."""
    if isinstance(value, str) and _NAME.fullmatch(value):
        return None
    return (
        "a name of 1 to 63 letters, digits, '.', '_' or '-' that starts "
        "with a letter or digit"
    )


def check_string(value: Any) -> str | None:
    """Accept non-empty strings."""
    if isinstance(value, str) and value:
        return None
    return "a text that is not empty"


def check_text(value: Any) -> str | None:
    """Accept non-empty texts that can be stored and sent in a header."""
    if isinstance(value, str) and value and not _UNSENDABLE.search(value):
        return None
    return "a text without control characters that is not empty"


def check_file_path(value: Any) -> str | None:
    """Accept a printable path, but not the pasted content of a file."""
    if isinstance(value, str) and value and value.isprintable():
        return None
    return "the path of a file"


def check_object(value: Any) -> str | None:
    """Accept any object."""
    return None if isinstance(value, dict) else "an object"


def check_boolean(value: Any) -> str | None:
    """Accept true and false."""
    return None if isinstance(value, bool) else "true or false"


def check_hash(value: Any) -> str | None:
    """Accept a SHA-256 hash of 64 lower-case hexadecimal digits."""
    if isinstance(value, str) and _HASH.fullmatch(value):
        return None
    return "the SHA-256 of a key as 64 lower-case hexadecimal digits"


def check_address(value: Any) -> str | None:
    """Accept an IP address and a port, such as `10.0.0.1:8080`."""
    expected = "an IP address and a port, such as '10.0.0.1:8080'"
    if not isinstance(value, str):
        return expected
    host, _, port = value.rpartition(":")
    if ":" in host and not (host.startswith("[") and host.endswith("]")):
        return expected
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return expected
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_port or not 0 < int(port) <= 65535:
        return expected
    return None


def check_url(value: Any) -> str | None:
    """Accept a URL of `http://`, an IP address and a port."""
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


def check_number(minimum: float, maximum: float, unit: str = "") -> Validator:
    """Return a validator that accepts numbers in a closed range."""
    suffix = f" {unit}" if unit else ""

    def check(value: Any) -> str | None:
        is_number = isinstance(value, int | float)
        is_number = is_number and not isinstance(value, bool)
        if is_number and minimum <= value <= maximum:
            return None
        return f"a number from {minimum:g} to {maximum:g}{suffix}"

    return check


def check_integer(minimum: int, maximum: int, unit: str = "") -> Validator:
    """Return a validator that accepts integers in a closed range."""
    suffix = f" {unit}" if unit else ""

    def check(value: Any) -> str | None:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if is_integer and minimum <= value <= maximum:
            return None
        return f"a whole number from {minimum} to {maximum}{suffix}"

    return check


def check_list(validator: Validator, min_length: int = 0) -> Validator:
    """Return a validator that accepts lists of valid values.

    Parameters
    ----------
    validator : callable
        Checks each value.
    min_length : int, optional
    """

    def check(value: Any) -> str | None:
        if not isinstance(value, list) or len(value) < min_length:
            return f"a list of at least {min_length} values"
        for entry in value:
            expected = validator(entry)
            if expected is not None:
                return f"a list in which each value is {expected}"
        return None

    return check
