"""Measures configuration versions at several sizes."""

from __future__ import annotations

import json
from typing import Any

from hornbeamyard.messages import fleet_pb2
from hornbeamyard.version.configuration import hash_key, parse_document
from hornbeamyard.version.delta import apply_delta
from hornbeamyard.version.state import FleetState, dump_document

from .fit import measure_bytes, time_cpu
from .pools import name_account

POOLS = 27


def build_document(accounts: int, upstreams: int) -> dict[str, Any]:
    """Return a configuration document with one key for each entry."""
    return {
        "client_accounts": {
            name_account(number): {
                "share": 1.0 + number % 3,
                "keys": [hash_key(name_account(number))],
            }
            for number in range(accounts)
        },
        "pools": {f"pool-{n:02d}": {"kind": "model"} for n in range(POOLS)},
        "upstreams": {
            f"worker-{number:05d}": {"keys": [hash_key(f"worker-{number}")]}
            for number in range(upstreams)
        },
        "operators": {"operator": {"keys": [hash_key("operator")]}},
    }


def build_patch(number: int, accounts: int) -> bytes:
    """Return a JSON patch that changes the share of one account."""
    path = f"/client_accounts/{name_account(number % accounts)}/share"
    value = 1.0 + number % 7
    return json.dumps(
        [{"op": "replace", "path": path, "value": value}]
    ).encode()


def build_state(accounts: int, upstreams: int) -> FleetState:
    """Return replicated state whose version 1 is a document."""
    state = FleetState()
    document = build_document(accounts, upstreams)
    patch = [{"op": "replace", "path": "", "value": document}]
    submit(state, "first", json.dumps(patch).encode())
    # Drop the patch that created the document, so that it isn't measured.
    state.outcomes.clear()
    state.patches.clear()
    return state


def submit(state: FleetState, patch_id: str, patch: bytes) -> None:
    """Apply a patch.

    Raises
    ------
    RuntimeError
        When it isn't accepted.
    """
    request = fleet_pb2.PatchRequest(
        patch_id=patch_id,
        base_version=state.version,
        patch=patch,
        operator="operator",
    )
    result = state.apply_patch(request, time_ms=1_700_000_000_000)
    if result.outcome != fleet_pb2.ACCEPTED:
        raise RuntimeError(
            f"patch {patch_id!r} was not accepted: {result.findings}"
        )


def measure_document(accounts: int, upstreams: int) -> dict[str, float]:
    """Return memory, processor time and message sizes for a document.

    Returns
    -------
    dict of str to float
        Memory of a controller (`state_bytes`) and a router
        (`router_bytes`); processor time of each for one change
        (`apply_cpu_s`, `router_cpu_s`); size of the document sent to a new
        router (`document_bytes`) and of the change sent to a router that
        has the previous version (`delta_bytes`).
    """
    state, size = measure_bytes(lambda: build_state(accounts, upstreams))
    assert isinstance(state, FleetState)
    numbers = iter(range(100))

    def change() -> None:
        number = next(numbers)
        submit(state, f"patch-{number}", build_patch(number, accounts))

    apply_cpu = time_cpu(change)
    document = dump_document(state.document)
    _, router_size = measure_bytes(
        lambda: (json.loads(document), parse_document(document, 1))
    )
    delta = fleet_pb2.ConfigurationDelta(
        version=2, base=1, patches=[build_patch(1, accounts)]
    )
    parsed = json.loads(document)
    configuration = parse_document(parsed, 1).unwrap()
    return {
        "state_bytes": size,
        "apply_cpu_s": apply_cpu,
        "router_bytes": router_size,
        "router_cpu_s": time_cpu(
            lambda: apply_delta(delta, parsed, configuration)
        ),
        "document_bytes": float(len(document)),
        "delta_bytes": float(delta.ByteSize()),
    }


def measure_changes(changes: int) -> dict[str, float]:
    """Return memory and processor time for a number of changes.

    Returns
    -------
    dict of str to float
        `state_bytes` that the changes add, and `cpu_s` to apply them.
    """
    accounts = 16
    state = build_state(accounts, 16)

    def run() -> None:
        for number in range(changes):
            submit(state, f"patch-{number}", build_patch(number, accounts))

    _, size = measure_bytes(run)
    fresh = build_state(accounts, 16)
    state = fresh
    return {"state_bytes": size, "cpu_s": time_cpu(run, 1)}
