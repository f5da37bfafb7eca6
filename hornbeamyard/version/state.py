"""The replicated state, which every controller derives from the log."""

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

# Number of configuration versions for which outcomes of patches are kept.
RETAINED_VERSIONS = 10_000
# Availability zones that may be evacuated at the same time. The set is sent to
# every router in one message, whose size is limited. Members with another
# limit would have another state.
MAX_EVACUATED_ZONES = 1024
# The first entry holds the initial members, the second is the first leader's.
FIRST_LEADER_INDEX = 2

Outcome = (
    fleet_pb2.PatchResult
    | fleet_pb2.ClaimResults
    | fleet_pb2.RoutingResult
    | fleet_pb2.EvacuationResult
    | None
)


class FleetState:
    """The replicated state as of the last applied entry.

    Attributes
    ----------
    document : dict
        The configuration document.
    configuration : Configuration
        The configuration parsed from `document`.
    outcomes : dict of str to PatchRecord
        Outcomes of patches by patch id, oldest first.
    patches : dict of int to bytes
        Accepted patches by the version they produced.
    claims : ClaimTable
    members : MemberList
        The newest committed members.
    digest_key : bytes
        Secret key of request digests; empty until a leader has chosen it.
    evacuated_zones : frozenset of str
        Availability zones to which no requests may be sent.
    evacuations_index : int
        Index of the entry that last changed them; 0 before the first.
    fencing : tuple of int and int
        Term and index of the newest leader's first entry.
    last_index, last_term : int
        Index and term of the last applied entry.
    routing : RoutingSubmission
        The newest accepted routing; version 0 before the first.
    time_ms : int
        Highest time stamp of the applied entries, in milliseconds since
        1970.
    """

    __slots__ = (
        "claims",
        "configuration",
        "digest_key",
        "document",
        "evacuated_zones",
        "evacuations_index",
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
        self.digest_key = b""
        self.evacuated_zones: frozenset[str] = frozenset()
        self.evacuations_index = 0
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
            case "evacuation":
                return self.apply_evacuation(entry.evacuation)
            case "members":
                self.members = entry.members
            case "digest_key":
                self.digest_key = entry.digest_key.key
            case "noop":
                self.fencing = (entry.term, entry.index)
        return None

    def has_first_leader(self) -> bool:
        """Return whether the fleet has had at most one leader so far."""
        return self.fencing[1] <= FIRST_LEADER_INDEX

    def apply_patch(
        self, request: fleet_pb2.PatchRequest, time_ms: int
    ) -> fleet_pb2.PatchResult:
        """Apply a configuration patch.

        If the same patch is submitted again under its id, the outcome of the
        first time is returned.

        Parameters
        ----------
        request : PatchRequest
        time_ms : int
            Time stamp of the log entry, in milliseconds since 1970.
        """
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
        """Accept a routing if its version is higher than the current one.

        A lower version is reported as overtaken, and the current one with the
        same content as accepted, because an operator who lost the reply sends
        a routing again. Other content under the current version is a
        conflict.
        """
        current = self.routing
        result = fleet_pb2.RoutingResult(decided=True)
        if submission.version > current.version:
            self.routing = fleet_pb2.RoutingSubmission(
                version=submission.version, document=submission.document
            )
            result.outcome = fleet_pb2.RoutingResult.ACCEPTED
        elif submission.version < current.version:
            result.outcome = fleet_pb2.RoutingResult.OVERTAKEN
        elif submission.document == current.document:
            result.outcome = fleet_pb2.RoutingResult.ACCEPTED
        else:
            result.outcome = fleet_pb2.RoutingResult.CONFLICT
        result.version = self.routing.version
        return result

    def apply_evacuation(
        self, order: fleet_pb2.EvacuationOrder
    ) -> fleet_pb2.EvacuationResult:
        """Start or end the evacuation of an availability zone.

        An order that is in force already, and the end of an evacuation that
        hasn't started, change nothing, because operators send an order again
        when its reply was lost.
        """
        zone = order.availability_zone
        result = fleet_pb2.EvacuationResult(decided=True)
        if order.evacuated == (zone in self.evacuated_zones):
            return result
        if (
            order.evacuated
            and len(self.evacuated_zones) >= MAX_EVACUATED_ZONES
        ):
            result.is_full = True
            return result
        self.evacuated_zones ^= {zone}
        self.evacuations_index = self.last_index
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
            # The texts are stored in the replicated state: if a release
            # changes one, its members differ from those of other releases.
            return fleet_pb2.PatchResult(
                outcome=fleet_pb2.INVALID,
                version=self.version,
                findings=[
                    _escape_text(str(finding)) for finding in patched.err_value
                ],
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
        """Return the state as a snapshot message."""
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
            digest_key=self.digest_key,
            evacuated_zones=sorted(self.evacuated_zones),
            evacuations_index=self.evacuations_index,
        )

    @classmethod
    def from_snapshot(cls, snapshot: fleet_pb2.SnapshotState) -> FleetState:
        """Build the state from a snapshot; an empty one gives a new state."""
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
        state.digest_key = snapshot.digest_key
        state.evacuated_zones = frozenset(snapshot.evacuated_zones)
        state.evacuations_index = snapshot.evacuations_index
        state.fencing = (snapshot.fencing_term, snapshot.fencing)
        state.last_index = snapshot.last_index
        state.last_term = snapshot.last_term
        state.time_ms = snapshot.time_ms
        return state


def hash_patch(request: fleet_pb2.PatchRequest) -> bytes:
    """Return the SHA-256 of a patch and its base version."""
    base = request.base_version.to_bytes(8, "big")
    return hashlib.sha256(base + request.patch).digest()


def patch_document(
    document: dict[str, Any], patch: bytes, version: int
) -> Result[tuple[dict[str, Any], Configuration], list[Finding]]:
    """Return a patched copy of a document and its configuration.

    Parameters
    ----------
    document : dict
        The configuration document; it is not modified.
    patch : bytes
        A JSON Patch (RFC 6902).
    version : int
        Number of the new version.

    Returns
    -------
    Result of (dict, Configuration) or list of Finding
        The error lists what is wrong with the patch or its result.
    """
    # A fleet with a route directory applies no patches. The other roles import
    # the module at their start (`process/leased_roles`), so that this can't
    # fail at one of the replicas alone.
    from .patch import apply_patch_text

    applied = apply_patch_text(document, patch)
    if isinstance(applied, Err):
        return applied
    patched = applied.ok_value
    parsed = parse_document(patched, version)
    if isinstance(parsed, Err):
        return parsed
    return Ok((patched, parsed.ok_value))


def _escape_text(text: str) -> str:
    """Return a text with escapes for what a message can't contain."""
    return text.encode(errors="backslashreplace").decode()


def dump_document(document: dict[str, Any]) -> bytes:
    """Return a configuration document as JSON."""
    return json.dumps(document, separators=(",", ":")).encode()
