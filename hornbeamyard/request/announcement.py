"""HTTP endpoints for upstreams: announce and leave."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from result import Err, Ok, Result

from ..pool.worker import Worker, WorkerRegistry
from ..process import validation
from ..process.timers import Timers
from ..process.validation import Finding, Option, Section
from ..version.configuration import Configuration
from .parsing import parse_object
from .problem import Outcome, Problem, build_findings_problem

UPSTREAMS_PATH = "/hornbeamyard/v1/upstreams"

_COUNT = Option(validation.check_integer(0, 2**31))
_SCHEMA = Section(
    {
        "name": Option(validation.check_name, required=True),
        "address": Option(validation.check_url, required=True),
        "availability_zone": Option(validation.check_name, required=True),
        "pool": Option(validation.check_name, required=True),
        "slots": Option(validation.check_integer(1, 100_000), required=True),
        "checks_fencing": Option(validation.check_boolean),
        "repeatable": Option(validation.check_boolean),
        "lease_s": Option(validation.check_number(0.5, 3600, "s")),
        "leaving": Option(validation.check_boolean),
        "load_running": _COUNT,
        "load_waiting": _COUNT,
        "incarnation": Option(validation.check_integer(0, 2**64 - 1)),
    }
)


class AnnouncementHandler:
    """Handles announcements of upstreams.

    Parameters
    ----------
    registry : WorkerRegistry
    timers : Timers
    announce : callable
        Called with each worker that announces itself or leaves.
    """

    __slots__ = ("_announce", "_registry", "_timers")

    def __init__(
        self,
        registry: WorkerRegistry,
        timers: Timers,
        announce: Callable[[Worker], None],
    ) -> None:
        self._registry = registry
        self._timers = timers
        self._announce = announce

    def serves(self, path: str) -> bool:
        """Return whether this handler serves a path."""
        return path == UPSTREAMS_PATH or path.startswith(UPSTREAMS_PATH + "/")

    def handle(
        self,
        path: str,
        method: str,
        key: str | None,
        body: bytes,
        configuration: Configuration,
    ) -> Result[dict[str, object], Problem]:
        """Handle a request of an upstream; return the response document."""
        name = _parse_leave_path(path)
        if path != UPSTREAMS_PATH and name is None:
            detail = f"there is no path {path!r}"
            return Err(Problem(HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, detail))
        if method != "POST":
            detail = f"{path} doesn't accept {method}; use POST"
            status = HTTPStatus.METHOD_NOT_ALLOWED
            return Err(Problem(status, Outcome.NOT_RUN, detail))
        if name is not None:
            return self._handle_leave(name, key, configuration)
        return self._handle_announcement(key, body, configuration)

    def _handle_announcement(
        self, key: str | None, body: bytes, configuration: Configuration
    ) -> Result[dict[str, object], Problem]:
        parsed = parse_object(body)
        if isinstance(parsed, Err):
            return Err(build_findings_problem(parsed.err_value))
        document = parsed.ok_value
        name = document.get("name")
        if isinstance(name, str) and not _is_allowed(configuration, name, key):
            return Err(_build_forbidden_problem())
        findings = validation.check_document(document, _SCHEMA)
        pool = document.get("pool")
        if not findings and pool not in configuration.pools:
            known = ", ".join(sorted(configuration.pools))
            message = f"there is no pool {pool!r}; known pools are {known}"
            findings = [Finding("pool", message)]
        if findings:
            return Err(build_findings_problem(findings))
        worker = Worker(announced_at=self._timers.now(), **document)
        self._announce(worker)
        return Ok({"lease_s": worker.lease_s})

    def _handle_leave(
        self, name: str, key: str | None, configuration: Configuration
    ) -> Result[dict[str, object], Problem]:
        if not _is_allowed(configuration, name, key):
            return Err(_build_forbidden_problem())
        worker = self._registry.get(name)
        if worker is None:
            detail = f"upstream {name!r} has not announced itself"
            return Err(Problem(HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, detail))
        now = self._timers.now()
        self._announce(replace(worker, leaving=True, announced_at=now))
        return Ok({"leaving": True})


def _parse_leave_path(path: str) -> str | None:
    parts = path.removeprefix(UPSTREAMS_PATH).split("/")
    if len(parts) == 3 and not parts[0] and parts[1] and parts[2] == "leave":
        return parts[1]
    return None


def _is_allowed(
    configuration: Configuration, name: str, key: str | None
) -> bool:
    return key is not None and configuration.is_upstream_allowed(name, key)


def _build_forbidden_problem() -> Problem:
    return Problem(
        HTTPStatus.FORBIDDEN, Outcome.NOT_RUN, "unknown upstream or key"
    )
