"""The command `hornbeamyard config check`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import anyio
import click
from result import Err, Ok, Result

from ..connection.client import BrokenConnectionError
from ..connection.retrieval import retrieve
from ..version.differences import build_patch, describe_differences
from ..version.lint import (
    NATIVE_FORMAT,
    Format,
    Report,
    check_routing,
    compare_versions,
)
from .documents import MAX_BODY_BYTES, read_json
from .invocation import EXIT_REFUSED, EXIT_SETTINGS, EXIT_UNKNOWN
from .tables import print_result
from .validation import Finding, check_address

# Status of a controller without a routing, or without a leader.
_UNAVAILABLE = 503


@click.command("check")
@click.argument("file", metavar="FILE", type=click.Path(path_type=Path))
@click.option(
    "--format",
    "format_name",
    type=click.Choice(["native", "platform"]),
    default="native",
    show_default=True,
    help="Whose routing document FILE is: the product's or the platform's.",
)
@click.option(
    "--against",
    metavar="ADDRESS|FILE",
    help="Compare with the version in force at a controller, given by its "
    "address for operators, such as 10.0.0.1:8080, or with another file.",
)
@click.option("--strict", is_flag=True, help="Exit with 1 on warnings.")
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, 3600),
    default=10.0,
    show_default=True,
    help="Seconds to wait for the controller's whole response.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check_configuration(
    file: Path,
    format_name: str,
    against: str | None,
    strict: bool,
    timeout: float,
    as_json: bool,
) -> None:
    """Check the routing document in FILE without submitting it.

    Errors are what controllers refuse. Without errors, warnings name what is
    accepted but can have no effect, and --against lists the differences; with
    --json they are a JSON Patch (RFC 6902). Keys of client accounts
    are not shown; a part of their SHA-256 stands in the differences.

    Exit codes: 0 accepted; 1 warnings, with --strict; 2 errors or an
    unreadable file; 3 the controller of --against didn't answer.
    """
    format = _select_format(format_name)
    report = check_routing(_read_or_exit(file), format)
    in_force = None
    # Differences of an invalid document could show a key under a wrong name.
    if against is not None and not report.errors:
        in_force = _read_other(against, format_name, timeout)
        if isinstance(in_force, Ok):
            _compare_versions(report, in_force.ok_value)
    if as_json:
        _print_json(report, in_force, format)
    else:
        _print_text(file, report, in_force, format)
    if report.errors:
        sys.exit(EXIT_SETTINGS)
    if isinstance(in_force, Err):
        sys.exit(EXIT_UNKNOWN)
    if strict and report.warnings:
        sys.exit(EXIT_REFUSED)


def _select_format(name: str) -> Format:
    if name == "native":
        return NATIVE_FORMAT
    # Imported here because the adapter is needed for this format only.
    from ..platform.checking import FORMAT

    return FORMAT


def _select_read_path(format_name: str) -> str:
    """Return the path of the call that reads the routing of a controller."""
    # Imported here because only calls to a controller need these modules.
    if format_name == "native":
        from .controller_app import ROUTING_PATH

        return ROUTING_PATH
    from ..platform.calls import READ_CONFIGURATION

    return READ_CONFIGURATION[1]


def _read_or_exit(file: Path) -> bytes:
    try:
        with file.open("rb") as source:
            content = source.read(MAX_BODY_BYTES + 1)
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
        sys.exit(EXIT_SETTINGS)
    if len(content) > MAX_BODY_BYTES:
        click.echo(
            f"{file}: controllers refuse documents above {MAX_BODY_BYTES} "
            "bytes",
            err=True,
        )
        sys.exit(EXIT_SETTINGS)
    return content


def _read_other(
    against: str, format_name: str, timeout_s: float
) -> Result[Any, str]:
    """Return the document to compare with, or why it can't be read.

    An unreadable file ends the command.
    """
    is_address = check_address(against) is None
    if is_address:
        path = _select_read_path(format_name)
        fetched = _fetch_document(against, path, timeout_s)
        if isinstance(fetched, Err):
            return fetched
        content = fetched.ok_value
    else:
        content = _read_or_exit(Path(against))
    parsed = read_json(content)
    if isinstance(parsed, Ok):
        return parsed
    if is_address:
        return Err(f"controller {against}: its reply {parsed.err_value}")
    click.echo(f"{against}: document: {parsed.err_value}", err=True)
    sys.exit(EXIT_SETTINGS)


def _fetch_document(
    address: str, path: str, timeout_s: float
) -> Result[bytes, str]:
    try:
        status, content = anyio.run(
            retrieve, address, path, MAX_BODY_BYTES, timeout_s
        )
    except BrokenConnectionError as error:
        return Err(f"controller {address} gave no document: {error}")
    except OSError as error:
        reason = str(error) or type(error).__name__
        return Err(f"controller {address} can't be reached: {reason}")
    if status == _UNAVAILABLE:
        return Err(
            f"controller {address} has no routing that a leader confirms"
        )
    if status != 200:
        return Err(
            f"controller {address} answered {status} to GET {path}; "
            "give its address for operators and the right --format"
        )
    return Ok(content)


def _compare_versions(report: Report, in_force: Any) -> None:
    version = in_force.get("version") if isinstance(in_force, dict) else None
    if type(version) is int and in_force != report.document:
        report.warnings += compare_versions(report.version, version)


def _print_json(
    report: Report, in_force: Result[Any, str] | None, format: Format
) -> None:
    patch = None
    if isinstance(in_force, Ok):
        other = in_force.ok_value
        patch = build_patch(other, report.document, format.secret_names)
    document = {
        "valid": not report.errors,
        "errors": [_describe(finding) for finding in report.errors],
        "warnings": [_describe(finding) for finding in report.warnings],
        "differences": patch,
        "comparison_failure": in_force.err_value
        if isinstance(in_force, Err)
        else None,
    }
    print_result(document, True, "")


def _print_text(
    file: Path,
    report: Report,
    in_force: Result[Any, str] | None,
    format: Format,
) -> None:
    found = [f"{file}: error: {finding}" for finding in report.errors]
    found += [f"{file}: warning: {finding}" for finding in report.warnings]
    if found:
        click.echo("\n".join(found), err=True)
    if isinstance(in_force, Ok):
        lines = describe_differences(
            in_force.ok_value, report.document, format.secret_names
        )
        click.echo("\n".join(lines) or "no differences")
    if isinstance(in_force, Err):
        click.echo(f"not compared: {in_force.err_value}", err=True)
    if not report.errors:
        count = len(report.warnings)
        click.echo(
            f"{file}: version {report.version} is valid, "
            f"{count} {'warning' if count == 1 else 'warnings'}"
        )


def _describe(finding: Finding) -> dict[str, Any]:
    return {
        "place": finding.key_path,
        "message": finding.message,
        "line": finding.line,
        "column": finding.column,
    }
