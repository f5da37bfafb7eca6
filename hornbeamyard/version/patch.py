"""JSON Patch (RFC 6902), with errors that name the operation at fault."""

from __future__ import annotations

import copy
import json
from typing import Any

import jsonpatch
from result import Err, Ok, Result

from ..process.validation import Finding

_REQUIRED_MEMBERS = {
    "add": ("path", "value"),
    "remove": ("path",),
    "replace": ("path", "value"),
    "move": ("from", "path"),
    "copy": ("from", "path"),
    "test": ("path", "value"),
}


def apply_patch_text(
    document: dict[str, Any], patch: bytes
) -> Result[Any, list[Finding]]:
    """Return a patched copy of a document.

    Parameters
    ----------
    document : dict
        It is not modified.
    patch : bytes
        A JSON Patch.

    Returns
    -------
    Result of object or list of Finding
        Findings don't show values of the document or the patch, because
        they may be secret keys.
    """
    try:
        operations = json.loads(patch)
    except ValueError as error:
        return Err([Finding("patch", f"is not JSON: {error}")])
    findings = check_operations(operations)
    if findings:
        return Err(findings)
    patched = copy.deepcopy(document)
    for number, operation in enumerate(operations):
        try:
            # Copied because the library inserts the operation's value itself
            # and later operations modify it.
            patched = jsonpatch.apply_patch(
                patched, [copy.deepcopy(operation)], in_place=True
            )
        except (
            jsonpatch.JsonPatchException,
            jsonpatch.JsonPointerException,
            TypeError,
        ) as error:
            return Err([_build_finding(number, operation, error)])
    return Ok(patched)


def check_operations(operations: Any) -> list[Finding]:
    """Return everything wrong with the structure of a JSON Patch."""
    if not isinstance(operations, list):
        return [Finding("patch", "is not accepted; give a list of operations")]
    findings = []
    for number, operation in enumerate(operations):
        key_path = f"patch[{number}]"
        if not isinstance(operation, dict):
            findings.append(
                Finding(key_path, "is not accepted; give an object")
            )
            continue
        findings += _check_operation(operation, key_path)
    return findings


def _check_operation(
    operation: dict[str, Any], key_path: str
) -> list[Finding]:
    name = operation.get("op")
    members = _REQUIRED_MEMBERS.get(name) if isinstance(name, str) else None
    if members is None:
        accepted = ", ".join(repr(known) for known in _REQUIRED_MEMBERS)
        return [
            Finding(
                f"{key_path}.op", f"is not accepted; give one of {accepted}"
            )
        ]
    findings = []
    for member in members:
        if member not in operation:
            findings.append(
                Finding(f"{key_path}.{member}", "is missing and is required")
            )
        elif member != "value" and not _is_pointer(operation[member]):
            findings.append(
                Finding(
                    f"{key_path}.{member}",
                    "is not accepted; give a JSON pointer, such as "
                    "'/client_accounts/hotel'",
                )
            )
    return findings


def _is_pointer(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    try:
        jsonpatch.JsonPointer(value)
    except jsonpatch.JsonPointerException:
        return False
    return True


def _build_finding(
    number: int, operation: dict[str, Any], error: Exception
) -> Finding:
    key_path = f"patch[{number}].path"
    path = operation["path"]
    if isinstance(error, jsonpatch.JsonPatchTestFailed):
        return Finding(
            key_path, f"the value at {path!r} is not the tested one"
        )
    source = operation.get("from")
    origin = f" from {source!r}" if isinstance(source, str) else ""
    return Finding(
        key_path, f"{operation['op']}{origin} at {path!r} finds no such place"
    )
