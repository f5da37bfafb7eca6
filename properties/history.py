"""Checks of the replies and states of a simulated cluster of controllers."""

from __future__ import annotations

from dataclasses import dataclass, field

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.version.state import FleetState

from .simulation import Host


class InvariantError(AssertionError):
    """The cluster violated one of its guarantees."""


@dataclass
class HistoryChecker:
    """Records the replies and states of the controllers and checks each.

    Attributes
    ----------
    patch_results : dict of str to bytes
        The first definite result of each patch, by patch id.
    accepted : dict of int to str
        Ids of accepted patches by version.
    read_version : int
        Highest version that any controller has returned.
    granted : dict of str to bytes
        The attempt that holds the claim of each key.
    recorded_answers : dict of str to bytes
        Body of the recorded answer of each key.
    released : set of (str, bytes)
        Keys and attempts for which a RELEASE was sent.
    entries : dict of int to bytes
        Applied log entries by index.
    states : dict of int to bytes
        The state after each index.
    """

    patch_results: dict[str, bytes] = field(default_factory=dict)
    accepted: dict[int, str] = field(default_factory=dict)
    read_version: int = 0
    granted: dict[str, bytes] = field(default_factory=dict)
    recorded_answers: dict[str, bytes] = field(default_factory=dict)
    released: set[tuple[str, bytes]] = field(default_factory=set)
    entries: dict[int, bytes] = field(default_factory=dict)
    states: dict[int, bytes] = field(default_factory=dict)

    def check_patch_result(
        self, request: fleet_pb2.PatchRequest, result: fleet_pb2.PatchResult
    ) -> None:
        """Check the definite result of a patch."""
        patch_id = request.patch_id
        data = result.SerializeToString(deterministic=True)
        first = self.patch_results.setdefault(patch_id, data)
        require(first == data, f"result of {patch_id} has changed")
        if result.outcome == fleet_pb2.ACCEPTED:
            require(
                result.version == request.base_version + 1,
                f"{patch_id} on base version {request.base_version} made "
                f"version {result.version}",
            )
            owner = self.accepted.setdefault(result.version, patch_id)
            require(
                owner == patch_id,
                f"version {result.version} was made by {owner} and {patch_id}",
            )
            self.read_version = max(self.read_version, result.version)

    def check_read(self, version: int) -> None:
        """Check the version of a leader that holds its lease."""
        require(
            version >= self.read_version,
            f"version went back from {self.read_version} to {version}",
        )
        self.read_version = version

    def check_claim(
        self, key: str, attempt: bytes, result: fleet_pb2.ClaimResult
    ) -> None:
        """Check the result of a MAKE operation."""
        if result.state == fleet_pb2.ANSWERED:
            body = self.recorded_answers.setdefault(key, result.answer.body)
            require(body == result.answer.body, f"answer of {key} has changed")
        if result.state != fleet_pb2.GRANTED:
            return
        holder = self.granted.get(key, attempt)
        require(
            holder == attempt or (key, holder) in self.released,
            f"{key} was granted to {holder!r} and {attempt!r}",
        )
        require(
            key not in self.recorded_answers,
            f"{key} was granted after its answer",
        )
        self.granted[key] = attempt

    def check_state(self, host: Host, checked: int) -> int:
        """Check the entries that a host has applied, and its state.

        Parameters
        ----------
        host : Host
        checked : int
            Index of the host's last entry that was checked before.

        Returns
        -------
        int
            Index of the last checked entry now.
        """
        state = host.replica.state
        for index in range(checked + 1, state.last_index + 1):
            entry = host.replica.journal.get_entry(index)
            if entry is None:
                continue
            data = entry.SerializeToString(deterministic=True)
            first = self.entries.setdefault(index, data)
            require(
                first == data, f"{host.name} applied a different entry {index}"
            )
        if state.last_index > checked:
            data = state.build_snapshot().SerializeToString(deterministic=True)
            first = self.states.setdefault(state.last_index, data)
            require(
                first == data,
                f"{host.name} has a different state after {state.last_index}",
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
        require(
            state.version >= self.read_version, "the last version was lost"
        )


def require(holds: bool, message: str) -> None:
    """Raise `InvariantError` unless a guarantee holds."""
    if not holds:
        raise InvariantError(message)
