"""The commands `hornbeamyard config ...`."""

from __future__ import annotations

import json
import sys
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import anyio
import click
from result import Err, Ok, Result

from ..connection.calls import LeaderCalls, Unreachable
from ..messages import fleet_pb2
from ..version.state import patch_document
from .invocation import (
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    call_or_exit,
    connect,
    fleet_options,
    load_or_exit,
)
from .settings import Settings
from .tables import format_diff, format_table, hide_keys, print_result

POLL_INTERVAL_S = 0.1


@click.group()
def config() -> None:
    """Read, change and check the configuration."""


@config.command("show")
@fleet_options
def show_configuration(file: Path, as_json: bool, timeout: float) -> None:
    """Show the newest configuration, with shortened key hashes."""
    loaded = load_or_exit(file)
    version, document = _read_configuration(loaded, timeout)
    shown = hide_keys(document)
    text = f"version {version}\n{json.dumps(shown, indent=2)}"
    print_result({"version": version, "document": shown}, as_json, text)


@config.command("history")
@click.option(
    "--limit",
    type=click.IntRange(1, 10_000),
    default=20,
    show_default=True,
    help="Maximum number of versions to show, newest first.",
)
@fleet_options
def show_history(
    limit: int, file: Path, as_json: bool, timeout: float
) -> None:
    """Show the latest accepted versions with time and operator."""
    loaded = load_or_exit(file)
    request = fleet_pb2.HistoryRequest(limit=limit)
    reply = call_or_exit(connect(loaded), "ReadHistory", request, timeout)
    rows = [describe_entry(entry) for entry in reply.entries]
    columns = ["version", "time", "operator", "operations", "patch_id"]
    print_result({"history": rows}, as_json, format_table(rows, columns))


@config.command("patch")
@click.option(
    "--base",
    type=click.IntRange(0),
    help="Version that the patch is based on; the newest by default.",
)
@click.option(
    "--operator",
    default="operator",
    show_default=True,
    help="Operator name recorded in the history.",
)
@click.option(
    "--id",
    "patch_id",
    help="Id of an earlier patch with unknown outcome; new by default.",
)
@click.argument("patch", type=click.Path(path_type=Path))
@fleet_options
def patch_configuration(
    base: int | None,
    operator: str,
    patch_id: str | None,
    patch: Path,
    file: Path,
    as_json: bool,
    timeout: float,
) -> None:
    """Submit the JSON Patch (RFC 6902) in the file PATCH.

    A call without an answer is retried with the same patch id, which never
    applies a patch twice. Exit codes: 0 accepted, 1 refused, 3 unknown;
    after 3, repeat the command with the id that it printed.
    """
    loaded = load_or_exit(file)
    try:
        content = patch.read_bytes()
    except OSError as error:
        raise click.UsageError(f"{patch}: {error.strerror}") from None
    version, document = _read_configuration(loaded, timeout)
    request = fleet_pb2.PatchRequest(
        patch_id=patch_id or str(uuid.uuid4()),
        base_version=version if base is None else base,
        patch=content,
        operator=operator,
    )
    if not as_json:
        _print_diff(version, document, content)
    click.echo(f"patch id {request.patch_id}", err=True)
    calls = connect(loaded)
    result = anyio.run(calls.call, "SubmitPatch", request, timeout)
    _report_outcome(request, result, as_json)


@config.command("wait")
@click.argument("version", type=click.IntRange(1))
@fleet_options
def wait_for_version(
    version: int, file: Path, as_json: bool, timeout: float
) -> None:
    """Wait until all attached routers report VERSION or a higher one."""
    loaded = load_or_exit(file)
    result = anyio.run(_poll_versions, connect(loaded), version, timeout)
    if isinstance(result, Err):
        click.echo(result.err_value, err=True)
        sys.exit(EXIT_UNKNOWN)
    routers = result.ok_value
    print_result(
        {"version": version, "routers": routers},
        as_json,
        f"version {version} is in force on {len(routers)} routers",
    )


async def _poll_versions(
    calls: LeaderCalls, version: int, timeout_s: float
) -> Result[list[dict[str, Any]], str]:
    deadline = time.monotonic() + timeout_s
    reason = "no status was read"
    while time.monotonic() < deadline:
        remaining_s = max(0.1, deadline - time.monotonic())
        reply = await calls.call(
            "ReadStatus", fleet_pb2.StatusRequest(), remaining_s
        )
        if isinstance(reply, Err):
            return Err(f"no lead controller answered: {reply.err_value}")
        document = json.loads(reply.ok_value.document)
        routers: list[dict[str, Any]] = document["routers"]
        behind = [r for r in routers if r["version_in_force"] < version]
        if routers and not behind and document["version"] >= version:
            return Ok(routers)
        reason = f"version {version} is not in force in time: " + (
            ", ".join(
                f"{r['host']} has version {r['version_in_force']}"
                for r in behind
            )
            or f"the newest version is {document['version']}, "
            f"{len(routers)} routers are attached"
        )
        await anyio.sleep(POLL_INTERVAL_S)
    return Err(reason)


def describe_entry(entry: fleet_pb2.HistoryEntry) -> dict[str, Any]:
    """Return an accepted patch as a row of the history."""
    try:
        operations = json.loads(entry.patch)
        changes = ", ".join(
            f"{operation['op']} {operation['path'] or '/'}"
            for operation in operations
        )
    except (ValueError, TypeError, KeyError):
        changes = ""
    time = datetime.fromtimestamp(entry.time_ms / 1000, UTC)
    return {
        "version": entry.version,
        "time": time.isoformat(timespec="seconds"),
        "operator": entry.operator,
        "patch_id": entry.patch_id,
        "operations": changes,
    }


def _read_configuration(settings: Settings, timeout: float) -> tuple[int, Any]:
    reply = call_or_exit(
        connect(settings),
        "ReadConfiguration",
        fleet_pb2.ReadRequest(),
        timeout,
    )
    return reply.version, json.loads(reply.document or b"{}")


def _print_diff(version: int, document: Any, content: bytes) -> None:
    patched = patch_document(document, content, version + 1)
    if isinstance(patched, Err):
        return
    diff = format_diff(document, patched.ok_value[0])
    click.echo(diff or "the patch changes nothing")


def _report_outcome(
    request: fleet_pb2.PatchRequest,
    result: Result[fleet_pb2.PatchResult, Unreachable],
    as_json: bool,
) -> None:
    document: dict[str, Any] = {
        "patch_id": request.patch_id,
        "outcome": "unknown",
        "version": None,
        "findings": [],
    }
    code = EXIT_UNKNOWN
    text = (
        "unknown: no lead controller answered in time; repeat with "
        f"--id {request.patch_id} --base {request.base_version}"
    )
    if isinstance(result, Err):
        text += f"\n  {result.err_value}"
        if result.err_value.refused:
            document["outcome"] = "refused"
            text = f"refused: {result.err_value}"
            code = EXIT_REFUSED
    else:
        reply = result.ok_value
        document["outcome"] = fleet_pb2.PatchOutcome.Name(
            reply.outcome
        ).lower()
        document["version"] = reply.version
        document["findings"] = list(reply.findings)
        code, text = _describe_result(request, reply)
    print_result(document, as_json, text)
    sys.exit(code)


def _describe_result(
    request: fleet_pb2.PatchRequest, reply: fleet_pb2.PatchResult
) -> tuple[int, str]:
    if reply.outcome == fleet_pb2.ACCEPTED:
        return 0, f"accepted as version {reply.version}"
    if reply.outcome == fleet_pb2.STALE:
        return (
            EXIT_REFUSED,
            f"refused: version {request.base_version} is outdated; the "
            f"current version is {reply.version}",
        )
    count = len(reply.findings)
    lines = [f"refused: {count} {'finding' if count == 1 else 'findings'}"]
    lines += [f"  {finding}" for finding in reply.findings]
    return EXIT_REFUSED, "\n".join(lines)
