"""Settings of one process, read from a file of JSON with comments."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from ..connection.request_memory import (
    ADDRESS_FRACTION,
    BODY_RATE,
    BODY_TIMEOUT_S,
    RESERVED_FRACTION,
)
from . import validation
from .key_locations import KeyLocations, locate_keys, parse_json5
from .relations import check_relations
from .validation import Finding, Option, Section, Table


@dataclass(slots=True, frozen=True)
class Tls:
    """Files for mutual TLS between the fleet's processes."""

    certificate: Path
    key: Path
    authority: Path


@dataclass(slots=True)
class RouterSettings:
    """Settings of the router role.

    Attributes
    ----------
    address : str
        IP address and port that callers and upstreams connect to.
    drain_s : float
        Time that running requests get to finish when the router stops, in
        seconds.
    connections : int
        Maximum number of open connections from callers.
    requests : int
        Maximum number of waiting and running requests.
    body_size : int
        Maximum size of a request body, in bytes.
    default_deadline_s : float
        Time within which a request without a deadline must start, in
        seconds.
    silence_s : float
        Time without a received byte after which the router asks an upstream
        whether it still runs the request, in seconds.
    status_address : str
        IP address and port for metrics and readiness; empty for none. Only
        fleets with `directory` use it.
    connect_timeout_s : float
        Time limit for opening a connection to an upstream, in seconds. Only
        fleets with `directory` use it.
    upstream_drain_s : float
        Time for which an upstream that leaves still takes requests, in
        seconds. Only fleets with `directory` use it.
    """

    address: str
    drain_s: float = 60.0
    connections: int = 4000
    requests: int = 4000
    body_size: int = 8 * 1024 * 1024
    default_deadline_s: float = 300.0
    silence_s: float = 10.0
    status_address: str = ""
    connect_timeout_s: float = 0.5
    upstream_drain_s: float = 0.0


@dataclass(slots=True)
class ControllerSettings:
    """Settings of the controller role.

    Attributes
    ----------
    address : str
        IP address and port for connections from the fleet's other
        processes.
    data_folder : Path
        Folder of the replicated log and its snapshots.
    status_address : str
        IP address and port for operators and upstreams; empty if routers
        serve them.
    advertised_address : str
        IP address and port at which the fleet's other processes reach
        `address`, if it differs, for example behind address translation.
        Only fleets with `directory` use it.
    """

    address: str
    data_folder: Path
    status_address: str = ""
    advertised_address: str = ""

    def get_advertised_address(self) -> str:
        """Return the address that other processes connect to."""
        return self.advertised_address or self.address


@dataclass(slots=True)
class DirectorySettings:
    """Settings of a fleet with a route directory.

    Its processes find the controllers through the seeds, so `controllers`
    may stay empty.

    Attributes
    ----------
    seeds : list of str
        Addresses of some hosts that run a controller.
    peer_port : int
        Port on which the controllers accept connections from the fleet's
        other processes; 0 if it is the port in the seeds.
    first_start : bool
        Whether the whole fleet starts for the first time. Only then may a
        controller with an empty data folder start a new log.
    tolerated_hosts : int
        Number of controllers that may lose their disks at the same time.
    catch_up_s : float
        Time after its start within which a controller that replaces another
        one has to hold the state, in seconds.
    announcement_interval_s : float
        Time between two announcements of an upstream, in seconds.
    repeat_share : float
        Fraction of a pool's requests that the fleet may retry.
    repeat_reserve : float
        Number of retries that the fleet may send to a pool in addition.
    repeat_window_s : float
        Window in which retries are counted, in seconds.
    share_window_s : float
        Window over which the shares of accounts must hold, in seconds.
    metrics_address : str
        IP address and port for metrics; empty for none.
    """

    seeds: list[str]
    peer_port: int = 0
    first_start: bool = False
    tolerated_hosts: int = 1
    catch_up_s: float = 6.0
    announcement_interval_s: float = 1.0
    repeat_share: float = 0.1
    repeat_reserve: float = 5.0
    repeat_window_s: float = 10.0
    share_window_s: float = 4.0
    metrics_address: str = ""

    def list_peer_addresses(self) -> list[str]:
        """Return the addresses of the controllers on the seed hosts."""
        if not self.peer_port:
            return list(self.seeds)
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [f"{host}:{self.peer_port}" for host in hosts]

    def count_required_members(self) -> int:
        """Return the number of controllers that tolerates the disk losses."""
        return 2 * self.tolerated_hosts + 1


@dataclass(slots=True)
class MemorySettings:
    """Memory for requests, of all servers of a process together.

    Attributes
    ----------
    request_bytes : int
        Upper bound of the bytes that are held for requests; 0 for what the
        machine, the cgroup and the resource limits leave.
    address_share : float
        Fraction of them for the requests of one address.
    reserved_share : float
        Fraction of them that only requests of up to 64 KiB may use.
    body_timeout_s : float
        Time in which a body has to make progress, in seconds.
    body_rate : float
        Average rate over that time below which a body makes none, in bytes
        per second.
    """

    request_bytes: int = 0
    address_share: float = ADDRESS_FRACTION
    reserved_share: float = RESERVED_FRACTION
    body_timeout_s: float = BODY_TIMEOUT_S
    body_rate: float = BODY_RATE


@dataclass(slots=True)
class Settings:
    """Settings of one process.

    Attributes
    ----------
    fleet, host, availability_zone : str
    controllers : dict of str to str
        Addresses of all controllers, by host.
    router : RouterSettings or None
    controller : ControllerSettings or None
    tls : Tls or None
    directory : DirectorySettings or None
    memory : MemorySettings
    plain_text : bool
        Whether connections between hosts may be unencrypted.
    log_level : str
    text : str
        Content of the file, by which a change is noticed.
    """

    fleet: str
    host: str
    availability_zone: str
    controllers: dict[str, str]
    router: RouterSettings | None = None
    controller: ControllerSettings | None = None
    tls: Tls | None = None
    directory: DirectorySettings | None = None
    memory: MemorySettings = field(default_factory=MemorySettings)
    plain_text: bool = False
    log_level: str = "info"
    text: str = field(default="", repr=False)


@dataclass(slots=True)
class SettingsError:
    """A settings file with errors."""

    path: Path
    findings: list[Finding] = field(default_factory=list)

    def __str__(self) -> str:
        count = len(self.findings)
        noun = "fault" if count == 1 else "faults"
        lines = [f"{self.path}: {count} {noun}"]
        lines += [f"  {finding}" for finding in self.findings]
        return "\n".join(lines)


_SCHEMA = Section(
    {
        "fleet": Option(validation.check_name, required=True),
        "host": Option(validation.check_name, required=True),
        "availability_zone": Option(validation.check_name, required=True),
        "controllers": Table(
            validation.check_name,
            Option(validation.check_address),
        ),
        "router": Section(
            {
                "address": Option(validation.check_address, required=True),
                "drain_s": Option(validation.check_number(0, 3600, "s")),
                "connections": Option(validation.check_integer(1, 1_000_000)),
                "requests": Option(validation.check_integer(1, 1_000_000)),
                "body_size": Option(
                    validation.check_integer(1024, 1024**3, "bytes")
                ),
                "default_deadline_s": Option(
                    validation.check_number(0.1, 86_400, "s")
                ),
                "silence_s": Option(validation.check_number(0.1, 3600, "s")),
                "status_address": Option(validation.check_address),
                "connect_timeout_s": Option(
                    validation.check_number(0.01, 60, "s")
                ),
                "upstream_drain_s": Option(
                    validation.check_number(0, 3600, "s")
                ),
            }
        ),
        "controller": Section(
            {
                "address": Option(validation.check_address, required=True),
                "data_folder": Option(validation.check_string, required=True),
                "status_address": Option(validation.check_address),
                "advertised_address": Option(validation.check_address),
            }
        ),
        "directory": Section(
            {
                "seeds": Option(
                    validation.check_list(validation.check_address),
                    required=True,
                ),
                "peer_port": Option(validation.check_integer(0, 65535)),
                "first_start": Option(validation.check_boolean),
                "tolerated_hosts": Option(validation.check_integer(0, 100)),
                "catch_up_s": Option(validation.check_number(0.1, 3600, "s")),
                "announcement_interval_s": Option(
                    validation.check_number(0.01, 3600, "s")
                ),
                "repeat_share": Option(validation.check_number(0, 1)),
                "repeat_reserve": Option(validation.check_number(0, 1e9)),
                "repeat_window_s": Option(
                    validation.check_number(0.1, 3600, "s")
                ),
                "share_window_s": Option(
                    validation.check_number(0.1, 3600, "s")
                ),
                "metrics_address": Option(validation.check_address),
            }
        ),
        "memory": Section(
            {
                "request_bytes": Option(
                    validation.check_integer(0, 2**50, "bytes")
                ),
                "address_share": Option(validation.check_number(0.01, 1)),
                "reserved_share": Option(validation.check_number(0, 0.9)),
                "body_timeout_s": Option(
                    validation.check_number(1, 3600, "s")
                ),
                "body_rate": Option(
                    validation.check_number(0, 1e9, "bytes per second")
                ),
            }
        ),
        "tls": Section(
            {
                "certificate": Option(
                    validation.check_file_path, required=True, secret=True
                ),
                "key": Option(
                    validation.check_file_path, required=True, secret=True
                ),
                "authority": Option(
                    validation.check_file_path, required=True, secret=True
                ),
            }
        ),
        "plain_text": Option(validation.check_boolean),
        "log_level": Option(
            validation.check_choice("debug", "info", "warning", "error")
        ),
    }
)


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and check a settings file.

    Parameters
    ----------
    path : Path
        A file of JSON with comments.

    Returns
    -------
    Result of Settings or SettingsError
        The error holds all findings.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsError(path, [Finding("", str(error))]))
    try:
        document = parse_json5(text)
    except ValueError as error:
        return Err(SettingsError(path, [_build_syntax_finding(error, text)]))
    except RecursionError:
        finding = Finding("", "is nested too deeply for a settings file")
        return Err(SettingsError(path, [finding]))
    findings = validation.check_document(document, _SCHEMA)
    if isinstance(document, dict):
        invalid_paths = {finding.key_path for finding in findings}
        findings += check_relations(document, invalid_paths, path.parent)
    findings = _add_lines(findings, locate_keys(text))
    if findings:
        return Err(SettingsError(path, findings))
    return Ok(_build_settings(document, path.parent, text))


def _build_syntax_finding(error: ValueError, text: str) -> Finding:
    match = re.match(r"(?:<string>:)?(\d+)[ :]\s*(.*)", str(error), re.DOTALL)
    if match is None:
        return Finding("", f"is not JSON with comments: {error}", 1)
    line = min(int(match[1]), text.count("\n") + 1)
    return Finding("", f"is not JSON with comments: {match[2]}", line)


def _add_lines(
    findings: list[Finding], locations: KeyLocations
) -> list[Finding]:
    located = [
        Finding(
            finding.key_path,
            finding.message,
            locations.find_line(finding.key_path),
        )
        for finding in findings
    ]
    located += [
        Finding(key_path, "occurs more than once; give it once", line)
        for key_path, line in locations.duplicates
    ]
    return sorted(located, key=lambda finding: finding.line or 0)


def _build_settings(
    document: dict[str, Any], folder: Path, text: str
) -> Settings:
    router = document.get("router")
    controller = document.get("controller")
    directory = document.get("directory")
    tls = document.get("tls")
    return Settings(
        fleet=document["fleet"],
        host=document["host"],
        availability_zone=document["availability_zone"],
        controllers=dict(document.get("controllers", {})),
        router=RouterSettings(**router) if router is not None else None,
        controller=(
            ControllerSettings(
                address=controller["address"],
                data_folder=folder / controller["data_folder"],
                status_address=controller.get("status_address", ""),
                advertised_address=controller.get("advertised_address", ""),
            )
            if controller is not None
            else None
        ),
        tls=(
            Tls(**{name: folder / file for name, file in tls.items()})
            if tls is not None
            else None
        ),
        directory=(
            DirectorySettings(**directory) if directory is not None else None
        ),
        memory=MemorySettings(**document.get("memory", {})),
        plain_text=document.get("plain_text", False),
        log_level=document.get("log_level", "info"),
        text=text,
    )
