"""What the controllers have answered, and the promises it must keep."""

from __future__ import annotations

from dataclasses import dataclass, field

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.version.state import FleetState

from .simulation import Host


class InvariantError(AssertionError):
    """The cluster broke one of its promises."""


@dataclass
class HistoryChecker:
    """Everything that the controllers have answered, checked as it comes.

    Attributes
    ----------
    answers : dict of str to bytes
        The first definite answer to each patch id.
    accepted : dict of int to str
        Patch ids by version.
    read_version : int
        Highest version that was answered or read anywhere.
    granted : dict of str to bytes
        The attempt that holds each key.
    released : set of (str, bytes)
        Attempts for which a RELEASE was sent.
    entries : dict of int to bytes
        Applied log entries by index.
    states : dict of int to bytes
        The state after each index.
    """

    answers: dict[str, bytes] = field(default_factory=dict)
    accepted: dict[int, str] = field(default_factory=dict)
    read_version: int = 0
    granted: dict[str, bytes] = field(default_factory=dict)
    recorded: dict[str, bytes] = field(default_factory=dict)
    released: set[tuple[str, bytes]] = field(default_factory=set)
    entries: dict[int, bytes] = field(default_factory=dict)
    states: dict[int, bytes] = field(default_factory=dict)

    def check_patch_result(
        self, request: fleet_pb2.PatchRequest, result: fleet_pb2.PatchResult
    ) -> None:
        """Check a definite answer to a patch."""
        patch_id = request.patch_id
        answer = result.SerializeToString(deterministic=True)
        first = self.answers.setdefault(patch_id, answer)
        require(first == answer, f"answer to {patch_id} was contradicted")
        if result.outcome == fleet_pb2.ACCEPTED:
            require(
                result.version == request.base_version + 1,
                f"{patch_id} for version {request.base_version} became "
                f"{result.version}",
            )
            owner = self.accepted.setdefault(result.version, patch_id)
            require(
                owner == patch_id,
                f"version {result.version} belongs to {owner} and {patch_id}",
            )
            self.read_version = max(self.read_version, result.version)

    def check_read(self, version: int) -> None:
        """Check a version that a leader with a lease has told."""
        require(
            version >= self.read_version,
            f"version went back from {self.read_version} to {version}",
        )
        self.read_version = version

    def check_claim(
        self, key: str, attempt: bytes, result: fleet_pb2.ClaimResult
    ) -> None:
        """Check the answer to a MAKE."""
        if result.state == fleet_pb2.ANSWERED:
            body = self.recorded.setdefault(key, result.answer.body)
            require(body == result.answer.body, f"answer of {key} changed")
        if result.state != fleet_pb2.GRANTED:
            return
        holder = self.granted.get(key, attempt)
        require(
            holder == attempt or (key, holder) in self.released,
            f"{key} was granted to {holder!r} and {attempt!r}",
        )
        require(key not in self.recorded, f"answered {key} was granted")
        self.granted[key] = attempt

    def check_state(self, host: Host, checked: int) -> int:
        """Check the entries that a host has applied; return their end."""
        state = host.replica.state
        for index in range(checked + 1, state.last_index + 1):
            entry = host.replica.journal.get_entry(index)
            if entry is None:
                continue
            data = entry.SerializeToString(deterministic=True)
            first = self.entries.setdefault(index, data)
            require(
                first == data, f"{host.name} applied another entry {index}"
            )
        if state.last_index > checked:
            data = state.build_snapshot().SerializeToString(deterministic=True)
            first = self.states.setdefault(state.last_index, data)
            require(
                first == data,
                f"{host.name} holds another state after {state.last_index}",
            )
        return max(checked, state.last_index)

    def check_final_state(self, state: FleetState) -> None:
        """Check the leader's state after all faults have ended."""
        for version, patch_id in self.accepted.items():
            record = state.outcomes.get(patch_id)
            require(
                record is not None and record.result.version == version,
                f"accepted patch {patch_id} of version {version} was lost",
            )
        require(state.version >= self.read_version, "the last version lost")


def require(holds: bool, message: str) -> None:
    """Raise `InvariantError` unless a promise holds."""
    if not holds:
        raise InvariantError(message)
