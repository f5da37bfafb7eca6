"""The HTTP interface of a controller for operators and upstreams."""

from __future__ import annotations

import json

from result import Err

from ..pool.upstream_registry import (
    MAX_COLD_REMAINING_MS,
    MAX_SEQUENCE,
    MAX_SLOTS,
    Upstream,
    UpstreamStart,
    UpstreamState,
)
from . import validation
from .documents import read_json
from .interface import Application, ControllerApi
from .servers import build_json_app
from .validation import Finding, Option, Section

ROUTING_PATH = "/hornbeamyard/v1/routing"
STATUS_PATH = "/hornbeamyard/v1/status"
EVACUATIONS_PREFIX = "/hornbeamyard/v1/evacuations/"
UPSTREAMS_PREFIX = "/hornbeamyard/v1/upstreams/"

# Whether a zone is to be evacuated, by the method of the call.
_EVACUATES = {"PUT": True, "DELETE": False}

_ANNOUNCEMENT_SCHEMA = Section(
    {
        "pool": Option(validation.check_string, required=True),
        "address": Option(validation.check_address, required=True),
        "availability_zone": Option(validation.check_name, required=True),
        "state": Option(
            validation.check_choice(
                UpstreamState.READY.value, UpstreamState.DRAINING.value
            )
        ),
        "slots": Option(validation.check_integer(1, MAX_SLOTS), required=True),
        "sequence": Option(
            validation.check_integer(0, MAX_SEQUENCE), required=True
        ),
        "started_ms": Option(validation.check_integer(0, MAX_SEQUENCE)),
        "models": Option(validation.check_list(validation.check_string)),
        "cold_remaining_ms": Option(
            validation.check_integer(0, MAX_COLD_REMAINING_MS)
        ),
        "software_version": Option(validation.check_string),
    }
)


def build_controller_app(controller: ControllerApi) -> Application:
    """Return the ASGI application for operators and upstreams.

    `PUT` and `GET` on `/hornbeamyard/v1/routing` submit and read the
    routing; `PUT` on `/hornbeamyard/v1/upstreams/ID` announces an upstream,
    and `DELETE` removes it; `PUT` on `/hornbeamyard/v1/evacuations/ZONE`
    starts the evacuation of an availability zone, and `DELETE` ends it; `GET`
    on `/hornbeamyard/v1/status` reads the status document.
    """

    async def handle(method: str, path: str, body: bytes) -> tuple[int, bytes]:
        if (method, path) == ("PUT", ROUTING_PATH):
            result = await controller.submit_routing(body)
            return result.status, result.to_json()
        if (method, path) == ("GET", ROUTING_PATH):
            document = await controller.read_routing()
            return (503, b"{}") if document is None else (200, document)
        if (method, path) == ("GET", STATUS_PATH):
            document = await controller.read_status()
            return (503, b"{}") if document is None else (200, document)
        if path.startswith(EVACUATIONS_PREFIX) and method in _EVACUATES:
            ordered = await controller.order_evacuation(
                path.removeprefix(EVACUATIONS_PREFIX), _EVACUATES[method]
            )
            return ordered.status, ordered.to_json()
        upstream_id = path.removeprefix(UPSTREAMS_PREFIX)
        if (
            path.startswith(UPSTREAMS_PREFIX)
            and upstream_id
            and method == "PUT"
        ):
            return _announce(controller, upstream_id, body)
        if (
            path.startswith(UPSTREAMS_PREFIX)
            and upstream_id
            and method == "DELETE"
        ):
            withdrawn = await controller.withdraw(
                UpstreamStart(upstream_id, 0)
            )
            if isinstance(withdrawn, Err):
                return _respond(withdrawn.err_value)
            return (200 if withdrawn.ok_value else 503), b"{}"
        return 404, b"{}"

    return build_json_app(handle)


def _announce(
    controller: ControllerApi, upstream_id: str, body: bytes
) -> tuple[int, bytes]:
    parsed = read_json(body)
    if isinstance(parsed, Err):
        return _respond([Finding("", parsed.err_value)])
    document = parsed.ok_value
    findings = validation.check_document(document, _ANNOUNCEMENT_SCHEMA)
    if findings:
        return _respond(findings)
    state = document.get("state", UpstreamState.READY.value)
    findings = controller.announce(
        Upstream(
            upstream_id,
            document["pool"],
            document["address"],
            document["availability_zone"],
            UpstreamState(state),
            document["slots"],
            document["sequence"],
            document.get("started_ms", 0),
            tuple(document.get("models", ())),
            document.get("software_version", ""),
            cold_remaining_ms=document.get("cold_remaining_ms"),
        )
    )
    return _respond(findings)


def _respond(findings: list[Finding]) -> tuple[int, bytes]:
    """Return status and body of the response to an upstream."""
    if not findings:
        return 200, b"{}"
    texts = [str(finding) for finding in findings]
    return 400, json.dumps({"findings": texts}).encode()
