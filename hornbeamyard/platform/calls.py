"""HTTP endpoints of a controller for operators and upstreams."""

from __future__ import annotations

import json
from typing import Any

import logbook

from ..pool.upstream_registry import Upstream, UpstreamState
from ..process.interface import Application, ControllerApi
from ..process.servers import build_json_app

REPLACE_CONFIGURATION = ("POST", "/Configuration.Replace")
READ_CONFIGURATION = ("GET", "/Configuration.Read")
HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"

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
            controller.withdraw(
                path.removeprefix(DEREGISTER_PREFIX), _parse_start(body)
            )
            return 200, b"{}"
        return 404, b"{}"

    return build_json_app(handle)


async def _submit(controller: ControllerApi, body: bytes) -> tuple[int, bytes]:
    submitted = await controller.submit_routing(body)
    return submitted.status, submitted.to_json()


def _announce(
    controller: ControllerApi, id: str, body: bytes
) -> tuple[int, bytes]:
    upstream = _parse_upstream(id, body)
    if upstream is None:
        # Programs other than upstreams may also send heartbeats here.
        _log.info(
            "ignored a heartbeat without the valid fields of an upstream, "
            "sent with the id {!r}",
            id[:80],
        )
        return 400, b"{}"
    controller.announce(upstream)
    return 200, b"{}"


def _parse_upstream(id: str, body: bytes) -> Upstream | None:
    document = _parse_object(body)
    if document is None or not id:
        return None
    texts = [document.get(name) for name in ("service", "address", "zone")]
    numbers = [document.get("slots"), document.get("sequence")]
    state = document.get("state")
    if not all(isinstance(text, str) and text for text in texts):
        return None
    if not all(type(number) is int and number >= 0 for number in numbers):
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
    )


def _parse_start(body: bytes) -> int:
    """Return the start time of a leaving upstream in ms; 0 if not given."""
    document = _parse_object(body) or {}
    started_ms = document.get("born", 0)
    return started_ms if type(started_ms) is int else 0


def _parse_object(body: bytes) -> dict[str, Any] | None:
    try:
        document = json.loads(body)
    except ValueError:
        return None
    return document if isinstance(document, dict) else None
