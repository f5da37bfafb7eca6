"""The replicated state that every controller derives from the log."""

from __future__ import annotations

import json
from typing import Any

import jsonpatch
from result import Err, Ok, Result

from ..messages import fleet_pb2
from ..process.validation import Finding
from .configuration import EMPTY_DOCUMENT, Configuration, parse_document
from .patch import apply_patch_text


class FleetState:
    """Configuration and patch outcomes, as of the last applied entry."""

    __slots__ = ("configuration", "document", "outcomes", "patches")

    def __init__(self) -> None:
        self.document: dict[str, Any] = json.loads(json.dumps(EMPTY_DOCUMENT))
        self.configuration = Configuration(version=0)
        self.outcomes: dict[str, fleet_pb2.PatchRecord] = {}
        self.patches: dict[int, bytes] = {}

    @property
    def version(self) -> int:
        """Number of the newest accepted version."""
        return self.configuration.version

    def apply_patch(
        self, request: fleet_pb2.PatchRequest, time_ms: int
    ) -> fleet_pb2.PatchResult:
        """Apply a patch; the first outcome of an id is the lasting one."""
        record = self.outcomes.get(request.patch_id)
        if record is not None:
            return record.result
        result = self._decide(request)
        self.outcomes[request.patch_id] = fleet_pb2.PatchRecord(
            patch_id=request.patch_id,
            result=result,
            patch=request.patch,
            operator=request.operator,
            time_ms=time_ms,
        )
        return result

    def _decide(
        self, request: fleet_pb2.PatchRequest
    ) -> fleet_pb2.PatchResult:
        if request.base_version != self.version:
            return fleet_pb2.PatchResult(
                outcome=fleet_pb2.STALE, version=self.version
            )
        patched = patch_document(
            self.document, request.patch, self.version + 1
        )
        if isinstance(patched, Err):
            return fleet_pb2.PatchResult(
                outcome=fleet_pb2.INVALID,
                version=self.version,
                findings=[str(finding) for finding in patched.err_value],
            )
        self.document, self.configuration = patched.ok_value
        self.patches[self.version] = request.patch
        return fleet_pb2.PatchResult(
            outcome=fleet_pb2.ACCEPTED, version=self.version
        )


def patch_document(
    document: dict[str, Any], patch: bytes, version: int
) -> Result[tuple[dict[str, Any], Configuration], list[Finding]]:
    """Return a patched copy of a document, checked.

    Parameters
    ----------
    document : dict
        The configuration document; it is not changed.
    patch : bytes
        A JSON Patch (RFC 6902).
    version : int
        Number of the new version.
    """
    applied = apply_patch_text(document, patch)
    if isinstance(applied, Err):
        return applied
    patched = applied.ok_value
    parsed = parse_document(patched, version)
    if isinstance(parsed, Err):
        return parsed
    return Ok((patched, parsed.ok_value))


def parse_delta(
    delta: fleet_pb2.ConfigurationDelta, document: dict[str, Any], version: int
) -> Result[tuple[dict[str, Any], Configuration], list[Finding]]:
    """Return the document and configuration that a delta leads to.

    Parameters
    ----------
    delta : ConfigurationDelta
        A whole document, or the patches that lead from `delta.base`.
    document : dict
        The document in force; it is not changed.
    version : int
        The version in force.
    """
    if delta.document:
        document = json.loads(delta.document)
    elif delta.base != version:
        return Err(
            [Finding("", f"starts at version {delta.base}, not {version}")]
        )
    try:
        for patch in delta.patches:
            document = jsonpatch.apply_patch(document, json.loads(patch))
    except jsonpatch.JsonPatchException as error:
        return Err([Finding("", str(error))])
    parsed = parse_document(document, delta.version)
    if isinstance(parsed, Err):
        return parsed
    return Ok((document, parsed.ok_value))


def dump_document(document: dict[str, Any]) -> bytes:
    """Return a configuration document as JSON."""
    return json.dumps(document, separators=(",", ":")).encode()
