"""HTTP endpoints of a controller for operators and upstreams."""

from __future__ import annotations

import math
from typing import Any

import logbook
from result import Err

from ..pool.upstream_registry import (
    MAX_COLD_REMAINING_MS,
    Upstream,
    UpstreamStart,
    UpstreamState,
)
from ..process.documents import read_json
from ..process.interface import Application, ControllerApi
from ..process.servers import build_json_app

REPLACE_CONFIGURATION = ("POST", "/Configuration.Replace")
READ_CONFIGURATION = ("GET", "/Configuration.Read")
HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"
START_EVACUATION_PREFIX = "/Evacuations.Start/"
FINISH_EVACUATION_PREFIX = "/Evacuations.Finish/"

_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}

_log = logbook.Logger("calls")


def build_app(controller: ControllerApi) -> Application:
    """Return the ASGI application for operators and upstreams."""

    async def handle(method: str, path: str, body: bytes) -> tuple[int, bytes]:
        if (method, path) == REPLACE_CONFIGURATION:
            return await _submit(controller, body)
        if (method, path) == READ_CONFIGURATION:
            document = await controller.read_routing()
            return (503, b"{}") if document is None else (200, document)
        if method == "POST" and path.startswith(HEARTBEAT_PREFIX):
            return _announce(
                controller, path.removeprefix(HEARTBEAT_PREFIX), body
            )
        if method == "POST" and path.startswith(DEREGISTER_PREFIX):
            return await _withdraw(
                controller, path.removeprefix(DEREGISTER_PREFIX), body
            )
        if method == "POST" and path.startswith(START_EVACUATION_PREFIX):
            zone = path.removeprefix(START_EVACUATION_PREFIX)
            return await _order_evacuation(controller, zone, True)
        if method == "POST" and path.startswith(FINISH_EVACUATION_PREFIX):
            zone = path.removeprefix(FINISH_EVACUATION_PREFIX)
            return await _order_evacuation(controller, zone, False)
        return 404, b"{}"

    return build_json_app(handle)


async def _submit(controller: ControllerApi, body: bytes) -> tuple[int, bytes]:
    submitted = await controller.submit_routing(body)
    return submitted.status, submitted.to_json()


async def _order_evacuation(
    controller: ControllerApi, availability_zone: str, evacuated: bool
) -> tuple[int, bytes]:
    ordered = await controller.order_evacuation(availability_zone, evacuated)
    return ordered.status, ordered.to_json()


def _announce(
    controller: ControllerApi, id: str, body: bytes
) -> tuple[int, bytes]:
    upstream = _parse_upstream(id, body)
    findings = [] if upstream is None else controller.announce(upstream)
    if upstream is None or findings:
        # Programs other than upstreams may also send heartbeats here.
        _log.info(
            "ignored a heartbeat without the valid fields of an upstream, "
            "sent with the id {!r} findings={}",
            id[:80],
            [str(finding) for finding in findings[:5]],
        )
        return 400, b"{}"
    return 200, b"{}"


async def _withdraw(
    controller: ControllerApi, id: str, body: bytes
) -> tuple[int, bytes]:
    start = _parse_start(id, body)
    withdrawn = Err([]) if start is None else await controller.withdraw(start)
    if isinstance(withdrawn, Err):
        _log.info(
            "ignored a deregistration that can't be read, sent with the id "
            "{!r} findings={}",
            id[:80],
            [str(finding) for finding in withdrawn.err_value[:5]],
        )
        return 400, b"{}"
    return (200 if withdrawn.ok_value else 503), b"{}"


def _parse_upstream(id: str, body: bytes) -> Upstream | None:
    document = _parse_object(body)
    if document is None or not id:
        return None
    texts = [document.get(name) for name in ("service", "address", "zone")]
    numbers = [document.get("slots"), document.get("sequence")]
    state = document.get("state")
    if not all(isinstance(text, str) and text for text in texts):
        return None
    if not all(type(number) is int for number in numbers):
        return None
    if not isinstance(state, str) or state not in _STATES:
        return None
    started_ms = document.get("born", 0)
    models = document.get("models", [])
    # The version of the upstream's software. Those of weights are in `models`.
    software_version = document.get("version", "")
    if type(started_ms) is not int or not isinstance(models, list):
        return None
    if not isinstance(software_version, str):
        return None
    cold_remaining_ms = document.get("coldRemainingMs")
    if cold_remaining_ms is not None:
        if type(cold_remaining_ms) not in (int, float):
            return None
        # Rounded up, as a cold upstream must not count as warm.
        bounded_ms = min(max(0, cold_remaining_ms), MAX_COLD_REMAINING_MS)
        cold_remaining_ms = math.ceil(bounded_ms)
    return Upstream(
        id=id,
        pool=str(texts[0]),
        address=str(texts[1]),
        availability_zone=str(texts[2]),
        state=_STATES[state],
        slots=int(numbers[0] or 0),
        sequence=int(numbers[1] or 0),
        started_ms=started_ms,
        models=tuple(
            model["name"]
            for model in models
            if isinstance(model, dict) and isinstance(model.get("name"), str)
        ),
        software_version=software_version,
        cold_remaining_ms=cold_remaining_ms,
    )


def _parse_start(id: str, body: bytes) -> UpstreamStart | None:
    """Return the start of a leaving upstream; its time is 0 if not given."""
    if not body:
        return UpstreamStart(id, 0)
    document = _parse_object(body)
    started_ms = None if document is None else document.get("born", 0)
    return UpstreamStart(id, started_ms) if type(started_ms) is int else None


def _parse_object(body: bytes) -> dict[str, Any] | None:
    parsed = read_json(body)
    if isinstance(parsed, Err):
        return None
    document = parsed.ok_value
    return document if isinstance(document, dict) else None
