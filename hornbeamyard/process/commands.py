"""The command-line tool `hornbeamyard`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
from result import Err

from .config_check import check_configuration
from .config_commands import config
from .controller_commands import controllers
from .explain import format_line, select_lines
from .invocation import EXIT_SETTINGS, fleet_options, read_status
from .settings import load_settings
from .tables import format_table, print_result
from .zone_commands import zones


@click.group()
@click.version_option(package_name="hornbeamyard")
def main() -> None:
    """Operate a hornbeamyard fleet.

    Commands that connect to the fleet need the settings file of one of its
    hosts. They try all controllers until they find the lead controller.

    Exit codes: 0 done; 1 refused; 2 invalid settings or arguments;
    3 unknown, because no lead controller answered in time.
    """


config.add_command(check_configuration)
main.add_command(config)
main.add_command(controllers)
main.add_command(zones)


@main.command("explain")
@click.argument("request_id")
@click.argument(
    "files",
    metavar="FILE...",
    nargs=-1,
    required=True,
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
)
def explain_request(request_id: str, files: tuple[Path, ...]) -> None:
    """Show the log lines of one request.

    Prints the lines of REQUEST_ID in each FILE, marked with `*`, and the
    state changes that the same hosts logged around that time. Times are in
    seconds since the request's first line on the host, by the host's clock.
    """
    lines = select_lines(request_id, files)
    if not lines:
        click.echo(f"no line names request {request_id!r}", err=True)
        sys.exit(1)
    start_times: dict[str, int] = {}
    for line in lines:
        if line.request_id:
            start_times.setdefault(line.host, line.time_ms)
    shown = ""
    for line in lines:
        if line.host != shown:
            shown = line.host
            click.echo(f"host {shown}")
        click.echo(format_line(line, start_times[line.host]))


@main.group()
def settings() -> None:
    """Check settings files."""


@settings.command("check")
@click.argument(
    "files",
    metavar="FILE...",
    nargs=-1,
    required=True,
    type=click.Path(path_type=Path),
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check_settings(files: tuple[Path, ...], as_json: bool) -> None:
    """Check settings files without starting a process.

    All errors in each FILE are reported with key path and line.
    """
    findings = []
    for file in files:
        loaded = load_settings(file)
        if isinstance(loaded, Err):
            click.echo(str(loaded.err_value), err=True)
            findings += [
                {
                    "file": str(file),
                    "place": finding.key_path,
                    "message": finding.message,
                    "line": finding.line,
                }
                for finding in loaded.err_value.findings
            ]
        elif not as_json:
            host = loaded.ok_value.host
            click.echo(f"{file}: the settings of host {host!r} are valid")
    if as_json:
        print_result(
            {"valid": not findings, "findings": findings}, as_json, ""
        )
    if findings:
        sys.exit(EXIT_SETTINGS)


@main.command()
@fleet_options
def status(file: Path, as_json: bool, timeout: float) -> None:
    """Show the lead controller, versions, routers and pools.

    In a fleet with a route directory, show the lead controller, the version
    of the routing, the numbers of routers and upstreams, and the evacuated
    availability zones.
    """
    document = read_status(file, timeout)
    if "evacuated_zones" in document:
        print_result(document, as_json, _describe_directory(document))
        return
    parts = [
        f"leader {document['leader']}, epoch {document['epoch']}, "
        f"version {document['version']}",
        format_table(document["routers"], ["host", "version_in_force"]),
        format_table(
            document["pools"],
            [
                "pool",
                "contended",
                "slots",
                "running",
                "waiting",
                "utilisation",
            ],
        ),
    ]
    controllers = document.get("controllers")
    if controllers:
        parts.insert(1, format_table(controllers, list(controllers[0])))
    print_result(document, as_json, "\n\n".join(parts))


@main.command()
@fleet_options
def accounts(file: Path, as_json: bool, timeout: float) -> None:
    """Show share, requests, service and lag of each client account.

    Service is the used slot time in seconds. The lag is how far the service
    divided by the share lies above the lowest account with waiting requests;
    '-' means that the account has no requests.
    """
    rows = _read_rows("accounts", file, timeout)
    columns = [
        "account",
        "pool",
        "share",
        "waiting",
        "running",
        "service_s",
        "lag_s",
    ]
    print_result({"accounts": rows}, as_json, format_table(rows, columns))


@main.command()
@fleet_options
def workers(file: Path, as_json: bool, timeout: float) -> None:
    """Show the announced upstreams and their slots."""
    rows = _read_rows("workers", file, timeout)
    columns = [
        "worker",
        "pool",
        "availability_zone",
        "slots",
        "held",
        "leaving",
        "address",
    ]
    print_result({"workers": rows}, as_json, format_table(rows, columns))


def _describe_directory(document: dict[str, Any]) -> str:
    """Return the status of a fleet with a route directory as text."""
    zones = ", ".join(document["evacuated_zones"]) or "none"
    return (
        f"leader {document['leader']}, epoch {document['epoch']}, "
        f"routing version {document['routing_version']}\n"
        f"routers attached: {document['routers_attached']}\n"
        f"upstreams: {document['upstreams']}\n"
        f"evacuated zones: {zones}"
    )


def _read_rows(key: str, file: Path, timeout: float) -> list[dict[str, Any]]:
    """Return a list of the status document, or exit if it has none."""
    document = read_status(file, timeout)
    if key not in document:
        raise click.UsageError(
            f"a fleet with a route directory doesn't report its {key}; see "
            "its metrics"
        )
    rows: list[dict[str, Any]] = document[key]
    return rows


if __name__ == "__main__":
    main(prog_name="hornbeamyard")
