"""The replicated state that every controller derives from the log."""

from __future__ import annotations

import hashlib
import itertools
import json
from typing import Any

from result import Err, Ok, Result

from ..messages import fleet_pb2
from ..process.validation import Finding
from .claims import ClaimTable
from .configuration import EMPTY_DOCUMENT, Configuration, parse_document
from .patch import apply_patch_text

# Outcomes of patches are kept for this many versions.
RETAINED_VERSIONS = 10_000
# The log begins with the first members, then the first leader's entry.
FIRST_LEADER_INDEX = 2

Outcome = (
    fleet_pb2.PatchResult
    | fleet_pb2.ClaimResults
    | fleet_pb2.RoutingResult
    | None
)


class FleetState:
    """Everything that the log decides, as of the last applied entry.

    Attributes
    ----------
    document : dict
        The configuration document.
    configuration : Configuration
        The same, checked.
    outcomes : dict of str to PatchRecord
        Outcomes of patches by id, oldest first.
    patches : dict of int to bytes
        Accepted patches by version.
    claims : ClaimTable
    members : MemberList
        The newest committed members.
    fencing : tuple of int and int
        Term and index of the newest leader's first entry.
    last_index, last_term : int
        The last applied entry.
    routing : RoutingSubmission
        The newest accepted routing; version 0 before the first.
    time_ms : int
        Log time of the last applied entry; it never goes back.
    """

    __slots__ = (
        "claims",
        "configuration",
        "document",
        "fencing",
        "last_index",
        "last_term",
        "members",
        "outcomes",
        "patches",
        "routing",
        "time_ms",
    )

    def __init__(self) -> None:
        self.document: dict[str, Any] = json.loads(json.dumps(EMPTY_DOCUMENT))
        self.configuration = Configuration(version=0)
        self.outcomes: dict[str, fleet_pb2.PatchRecord] = {}
        self.patches: dict[int, bytes] = {}
        self.claims = ClaimTable()
        self.members = fleet_pb2.MemberList()
        self.fencing = (0, 0)
        self.last_index = 0
        self.last_term = 0
        self.routing = fleet_pb2.RoutingSubmission()
        self.time_ms = 0

    @property
    def version(self) -> int:
        """Number of the newest accepted version."""
        return self.configuration.version

    def apply(self, entry: fleet_pb2.LogEntry) -> Outcome:
        """Apply the next log entry and return its outcome."""
        assert entry.index == self.last_index + 1
        self.last_index = entry.index
        self.last_term = entry.term
        self.time_ms = max(self.time_ms, entry.time_ms)
        match entry.WhichOneof("command"):
            case "patch":
                return self.apply_patch(entry.patch, self.time_ms)
            case "claims":
                return self.claims.apply(entry.claims, self.time_ms)
            case "routing":
                return self.apply_routing(entry.routing)
            case "members":
                self.members = entry.members
            case "noop":
                self.fencing = (entry.term, entry.index)
        return None

    def has_first_leader(self) -> bool:
        """Return whether the fleet has had no leader but the present one."""
        return self.fencing[1] <= FIRST_LEADER_INDEX

    def apply_patch(
        self, request: fleet_pb2.PatchRequest, time_ms: int
    ) -> fleet_pb2.PatchResult:
        """Apply a patch; the first outcome of an id is the lasting one."""
        patch_hash = hash_patch(request)
        record = self.outcomes.get(request.patch_id)
        if record is not None:
            if record.patch_hash == patch_hash:
                return record.result
            return fleet_pb2.PatchResult(
                outcome=fleet_pb2.INVALID,
                version=self.version,
                findings=[
                    f"patch id: {request.patch_id!r} was used with another "
                    "patch or base version; give each patch its own id"
                ],
            )
        result = self._evaluate_patch(request)
        accepted = result.outcome == fleet_pb2.ACCEPTED
        self.outcomes[request.patch_id] = fleet_pb2.PatchRecord(
            patch_id=request.patch_id,
            result=result,
            patch=request.patch if accepted else b"",
            operator=request.operator,
            time_ms=time_ms,
            patch_hash=patch_hash,
        )
        if accepted:
            self._drop_old_outcomes()
        return result

    def apply_routing(
        self, submission: fleet_pb2.RoutingSubmission
    ) -> fleet_pb2.RoutingResult:
        """Take a routing when its version is the highest.

        A version that is not higher is acknowledged, because an operator
        who lost the answer sends it again; other content under the version
        that is held is not.
        """
        held = self.routing
        result = fleet_pb2.RoutingResult(decided=True)
        if submission.version > held.version:
            self.routing = fleet_pb2.RoutingSubmission(
                version=submission.version, document=submission.document
            )
            result.outcome = fleet_pb2.RoutingResult.ACCEPTED
        elif submission.version < held.version:
            result.outcome = fleet_pb2.RoutingResult.OVERTAKEN
        elif submission.document == held.document:
            result.outcome = fleet_pb2.RoutingResult.ACCEPTED
        else:
            result.outcome = fleet_pb2.RoutingResult.CONFLICT
        result.version = self.routing.version
        return result

    def list_history(self, limit: int) -> list[fleet_pb2.PatchRecord]:
        """Return the newest accepted patches, newest first."""
        accepted = (
            record
            for record in reversed(self.outcomes.values())
            if record.result.outcome == fleet_pb2.ACCEPTED
        )
        return list(itertools.islice(accepted, limit))

    def _evaluate_patch(
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

    def _drop_old_outcomes(self) -> None:
        oldest = self.version - RETAINED_VERSIONS
        self.patches.pop(oldest, None)
        dropped = []
        for patch_id, record in self.outcomes.items():
            if record.result.version > oldest:
                break
            dropped.append(patch_id)
        for patch_id in dropped:
            del self.outcomes[patch_id]

    # ---- snapshots -------------------------------------------------------

    def build_snapshot(self) -> fleet_pb2.SnapshotState:
        """Return the whole state as a message."""
        return fleet_pb2.SnapshotState(
            last_index=self.last_index,
            last_term=self.last_term,
            time_ms=self.time_ms,
            version=self.version,
            document=dump_document(self.document),
            members=self.members,
            patches=self.outcomes.values(),
            claims=self.claims.list_records(),
            fencing=self.fencing[1],
            fencing_term=self.fencing[0],
            routing_version=self.routing.version,
            routing_document=self.routing.document,
        )

    @classmethod
    def from_snapshot(cls, snapshot: fleet_pb2.SnapshotState) -> FleetState:
        """Return the state that a snapshot holds."""
        state = cls()
        if not snapshot.last_index:
            return state
        parsed = parse_document(snapshot.document, snapshot.version)
        state.document = json.loads(snapshot.document)
        state.configuration = parsed.unwrap()
        for record in snapshot.patches:
            copied = fleet_pb2.PatchRecord()
            copied.CopyFrom(record)
            state.outcomes[record.patch_id] = copied
            if record.result.outcome == fleet_pb2.ACCEPTED:
                state.patches[record.result.version] = record.patch
        copies = fleet_pb2.SnapshotState(claims=snapshot.claims)
        state.claims = ClaimTable(copies.claims)
        state.members = snapshot.members
        state.routing = fleet_pb2.RoutingSubmission(
            version=snapshot.routing_version,
            document=snapshot.routing_document,
        )
        state.fencing = (snapshot.fencing_term, snapshot.fencing)
        state.last_index = snapshot.last_index
        state.last_term = snapshot.last_term
        state.time_ms = snapshot.time_ms
        return state


def hash_patch(request: fleet_pb2.PatchRequest) -> bytes:
    """Return the SHA-256 of what a patch asks for."""
    base = request.base_version.to_bytes(8, "big")
    return hashlib.sha256(base + request.patch).digest()


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


def dump_document(document: dict[str, Any]) -> bytes:
    """Return a configuration document as JSON."""
    return json.dumps(document, separators=(",", ":")).encode()
