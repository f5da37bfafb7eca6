"""The product's own calls of operators and upstreams to a controller."""

from __future__ import annotations

import json

from ..pool.census import Upstream, UpstreamState
from . import validation
from .interface import Application, ControllerCalls
from .servers import build_call_app
from .validation import Option, Section

ROUTING = "/hornbeamyard/v1/routing"
UPSTREAMS = "/hornbeamyard/v1/upstreams/"

_ANNOUNCEMENT = Section(
    {
        "pool": Option(validation.check_text, required=True),
        "address": Option(validation.check_address, required=True),
        "availability_zone": Option(validation.check_name, required=True),
        "state": Option(
            validation.check_choice(
                UpstreamState.READY.value, UpstreamState.DRAINING.value
            )
        ),
        "slots": Option(validation.check_whole(1, 2**31), required=True),
        "sequence": Option(validation.check_whole(0, 2**63), required=True),
        "started_ms": Option(validation.check_whole(0, 2**63)),
        "models": Option(validation.check_list(validation.check_text)),
    }
)


def build_controller_app(calls: ControllerCalls) -> Application:
    """Return the ASGI application for operators and upstreams.

    `PUT` and `GET` on `/hornbeamyard/v1/routing` submit and read the
    routing; `PUT` on `/hornbeamyard/v1/upstreams/ID` announces an upstream,
    and `DELETE` tells that it leaves.
    """

    async def answer(method: str, path: str, body: bytes) -> tuple[int, bytes]:
        if (method, path) == ("PUT", ROUTING):
            submitted = await calls.submit(body)
            return submitted.status, submitted.to_json()
        if (method, path) == ("GET", ROUTING):
            document = await calls.read()
            return (503, b"{}") if document is None else (200, document)
        id = path.removeprefix(UPSTREAMS)
        if path.startswith(UPSTREAMS) and id and method == "PUT":
            return _announce(calls, id, body)
        if path.startswith(UPSTREAMS) and id and method == "DELETE":
            calls.end(id, 0)
            return 200, b"{}"
        return 404, b"{}"

    return build_call_app(answer)


def _announce(
    calls: ControllerCalls, id: str, body: bytes
) -> tuple[int, bytes]:
    try:
        document = json.loads(body)
    except ValueError as error:
        return 400, _describe([f"document: is not JSON: {error}"])
    findings = validation.check_document(document, _ANNOUNCEMENT)
    if findings:
        return 400, _describe([str(finding) for finding in findings])
    state = document.get("state", UpstreamState.READY.value)
    calls.announce(
        Upstream(
            id,
            document["pool"],
            document["address"],
            document["availability_zone"],
            UpstreamState(state),
            document["slots"],
            document["sequence"],
            document.get("started_ms", 0),
            tuple(document.get("models", ())),
        )
    )
    return 200, b"{}"


def _describe(findings: list[str]) -> bytes:
    return json.dumps({"findings": findings}).encode()
