"""JSON Patch documents (RFC 6902), with findings that name the operation."""

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
        It is not changed.
    patch : bytes
        A JSON Patch.

    Returns
    -------
    Result of object or list of Finding
        Findings show no value of the document or the patch, because it may
        be a key.
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
            # The library changes lists and objects of the patch later.
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
    """Return all findings on the form of a JSON Patch."""
    if not isinstance(operations, list):
        return [Finding("patch", "is not accepted; give a list of operations")]
    findings = []
    for number, operation in enumerate(operations):
        place = f"patch[{number}]"
        if not isinstance(operation, dict):
            findings.append(Finding(place, "is not accepted; give an object"))
            continue
        findings += _check_operation(operation, place)
    return findings


def _check_operation(operation: dict[str, Any], place: str) -> list[Finding]:
    name = operation.get("op")
    members = _REQUIRED_MEMBERS.get(name) if isinstance(name, str) else None
    if members is None:
        accepted = ", ".join(repr(known) for known in _REQUIRED_MEMBERS)
        return [
            Finding(f"{place}.op", f"is not accepted; give one of {accepted}")
        ]
    findings = []
    for member in members:
        if member not in operation:
            findings.append(
                Finding(f"{place}.{member}", "is missing and is required")
            )
        elif member != "value" and not _is_pointer(operation[member]):
            findings.append(
                Finding(
                    f"{place}.{member}",
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
    place = f"patch[{number}].path"
    path = operation["path"]
    if isinstance(error, jsonpatch.JsonPatchTestFailed):
        return Finding(place, f"the value at {path!r} is not the tested one")
    source = operation.get("from")
    via = f" from {source!r}" if isinstance(source, str) else ""
    return Finding(
        place, f"{operation['op']}{via} at {path!r} finds no such place"
    )
