"""Tests of upstreams that send bytes without end."""

from __future__ import annotations

import anyio
import pytest

from .raw_upstream import Script, send_endlessly, send_response
from .test_forwarding import Harness, run

# Much less than the route's timeout of 1.5 s, which bounds any attempt.
MAX_DETECTION_S = 0.75

OK = b"HTTP/1.1 200 OK\r\n"
OWN = b"hornbeamyard-request: {id}\r\nhornbeamyard-signature: s1\r\n"
CHUNKED = OK + OWN + b"transfer-encoding: chunked\r\n\r\n"


class TestEndlessBytes:
    """Bytes without end are cut off, and the caller gets its answer."""

    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"", b"a"),
            (OK, b"x-a: b\r\n"),
            (OK + b"x-a: ", b"a"),
            (OK, b"x-a: b\r\n c\r\n"),
            (b"", b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"),
            (CHUNKED, b"0"),
            (CHUNKED + b"3;", b"a"),
            (CHUNKED + b"0\r\n", b"x-a: b\r\n"),
            (CHUNKED + b"3\r\nabc\r\n0\r\n", b"x-a: b\r\n"),
            (OK + b"hornbeamyard-request: r-other\r\n\r\n", b"a"),
            (b"HTTP/1.1 500 X\r\n" + OWN + b"\r\n", b"a"),
            (b"HTTP/1.1 503 X\r\nhornbeamyard-not-run: 1\r\n\r\n", b"a"),
        ],
        ids=[
            "no response",
            "header lines",
            "one header line",
            "folded header lines",
            "interim responses",
            "chunk size",
            "chunk extension",
            "trailers without a body",
            "trailers",
            "body of another request's response",
            "body of an error",
            "body of a refusal",
        ],
    )
    def test_attempt_ends(self, start: bytes, repeated: bytes) -> None:
        """Guards against memory and time taken by bytes that are no answer."""

        async def test(harness: Harness) -> None:
            began_at = harness.timers.now()
            received = await harness.send_request("/charge/1")
            assert harness.timers.now() - began_at < MAX_DETECTION_S
            assert received.status == 502
            assert received.is_complete
            await anyio.sleep(0.05)
            [upstream] = harness.raw_upstreams  # type: ignore[attr-defined]
            assert len(upstream.received) == 1
            assert upstream.closed == 1
            server = harness.balancer.servers["u0"]
            assert server.failures_in_row == 1

        run(test, [send_endlessly(start, repeated)])

    @pytest.mark.parametrize("then", ["at once", "later"])
    def test_after_a_complete_response(self, then: str) -> None:
        """Guards against an idle connection that receives without end."""
        complete = OK + OWN + b"content-length: 3\r\n\r\n"

        async def test(harness: Harness) -> None:
            received = await harness.send_request("/charge/1")
            assert received.status == 200
            assert received.body == b"abc"
            await anyio.sleep(0.2)
            [upstream] = harness.raw_upstreams  # type: ignore[attr-defined]
            assert upstream.closed == 1

        script: Script = send_endlessly(complete + b"abc", b"a")
        if then == "later":
            script = _send_later(b"abc")
        run(test, [script])

    def test_body_without_end(self) -> None:
        """Guards against a response that outlives the route's timeout."""

        async def test(harness: Harness) -> None:
            received = await harness.send_request("/charge/1")
            assert not received.is_complete
            await anyio.sleep(0.05)
            [upstream] = harness.raw_upstreams  # type: ignore[attr-defined]
            assert upstream.closed == 1

        run(test, [send_endlessly(OK + OWN + b"\r\n", b"a")])


def _send_later(body: bytes) -> Script:
    """Return a script that sends a response, and endless bytes after it."""
    respond = send_response(body=body)
    overflow = send_endlessly(b"", b"a")

    async def send(stream, received) -> None:  # type: ignore[no-untyped-def]
        await respond(stream, received)
        await anyio.sleep(0.05)
        await overflow(stream, received)

    return send
