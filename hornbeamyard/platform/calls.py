"""The platform's calls of operators and upstreams to a controller."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import logbook

from ..pool.census import Upstream, UpstreamState
from ..process.interface import Application, ControllerCalls

SUBMIT = ("POST", "/Configuration.Replace")
READ = ("GET", "/Configuration.Read")
ANNOUNCE = "/Instances.Heartbeat/"
END = "/Instances.Deregister/"

# Largest call; configurations of thousands of routes stay below.
LARGEST_BODY = 16 * 1024 * 1024
_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}

_log = logbook.Logger("calls")


def build_app(calls: ControllerCalls) -> Application:
    """Return the ASGI application for operators and upstreams."""

    async def serve(
        scope: Any,
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            return
        status, answer = await _answer(calls, scope, body)
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", str(len(answer)).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": answer})

    return serve


async def _read_body(
    receive: Callable[[], Awaitable[Any]],
) -> bytes | None:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if not message.get("more_body", False) or size > LARGEST_BODY:
            return b"".join(parts)


async def _answer(
    calls: ControllerCalls, scope: Any, body: bytes
) -> tuple[int, bytes]:
    method, path = scope["method"], scope["path"]
    if (method, path) == SUBMIT:
        return await _submit(calls, body)
    if (method, path) == READ:
        document = await calls.read()
        return (503, b"{}") if document is None else (200, document)
    if method == "POST" and path.startswith(ANNOUNCE):
        return _announce(calls, path.removeprefix(ANNOUNCE), body)
    if method == "POST" and path.startswith(END):
        calls.end(path.removeprefix(END), _read_start(body))
        return 200, b"{}"
    return 404, b"{}"


async def _submit(calls: ControllerCalls, body: bytes) -> tuple[int, bytes]:
    submitted = await calls.submit(body)
    answer = json.dumps(
        {"version": submitted.version, "findings": submitted.findings}
    ).encode()
    if submitted.findings:
        return 400, answer
    if not submitted.decided:
        return 503, answer
    return (409 if submitted.conflict else 200), answer


def _announce(
    calls: ControllerCalls, id: str, body: bytes
) -> tuple[int, bytes]:
    upstream = _read_upstream(id, body)
    if upstream is None:
        # Other writers may announce what isn't an upstream to use.
        _log.info("announcement of {!r} isn't one of an upstream", id[:80])
        return 400, b"{}"
    calls.announce(upstream)
    return 200, b"{}"


def _read_upstream(id: str, body: bytes) -> Upstream | None:
    document = _parse(body)
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
    if type(started_ms) is not int or not isinstance(models, list):
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
    )


def _read_start(body: bytes) -> int:
    """Return the start of an upstream that leaves; 0 if it doesn't say."""
    document = _parse(body) or {}
    started_ms = document.get("born", 0)
    return started_ms if type(started_ms) is int else 0


def _parse(body: bytes) -> dict[str, Any] | None:
    try:
        document = json.loads(body)
    except ValueError:
        return None
    return document if isinstance(document, dict) else None
