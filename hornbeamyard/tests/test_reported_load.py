"""Tests of the load that upstreams state in their responses."""

from __future__ import annotations

import pytest

from hornbeamyard.platform.headers import HEADER_NAMES
from hornbeamyard.pool.usage import ReportedLoad
from hornbeamyard.request.headers import HeaderCodec

from .raw_upstream import send_events, send_response
from .test_forwarding import Harness, run

LOAD = "hornbeamyard-load: 5,2,6,250"


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"5,2,6,250", ReportedLoad(5, 2, 6, 2.5)),
        (b"5, 2, 6", ReportedLoad(5, 2, 6)),
        (b"0,0,1,100", ReportedLoad(0, 0, 1, 1.0)),
        (b"", None),
        (b"5,2", None),
        (b"5,2,6,", None),
        (b"5,2,6,250,1", None),
        (b"5,2,0,100", None),
        (b"-5,2,6", None),
        (b"5,2,6,0", None),
        (b"5,2,6,2001", None),
        (b"5,2,6,1e2", None),
        (b"9999999,2,6", None),
        (b"9" * 5000, None),
        (b"\xff,2,6", None),
    ],
)
def test_reads_the_header(value: bytes, expected: ReportedLoad | None) -> None:
    """Guards against errors and estimates from malformed values."""
    codec = HeaderCodec(HEADER_NAMES)
    metadata = codec.read_response(200, [(b"x-instance-load", value)])
    assert metadata.load == expected


@pytest.mark.parametrize(
    ("path", "script"),
    [
        ("/charge/1", send_response(headers=(LOAD,))),
        ("/charge/1", send_response(500, headers=(LOAD,))),
        ("/chat/1", send_events(1, 3, headers=(LOAD,))),
    ],
    ids=["success", "error", "stream"],
)
def test_any_response_states_it(path: str, script: object) -> None:
    """Guards against a load that is lost between response and balancer."""

    async def test(harness: Harness) -> None:
        harness.balancer.servers["u1"].own_load.running = 3
        before = harness.timers.now()
        await harness.send_request(path)
        server = harness.balancer.servers["u0"]
        assert server.reported == ReportedLoad(5, 2, 6, 2.5)
        assert before <= server.reported_at <= harness.timers.now()

    run(test, [script], [send_response()])  # type: ignore[list-item]


def test_response_of_another_upstream_at_the_address() -> None:
    """Guards against a load of an upstream that sent no response."""

    async def test(harness: Harness) -> None:
        await harness.send_request("/charge/1")
        assert harness.balancer.servers["u0"].reported is None

    run(test, [send_response(421, signed=False, headers=(LOAD,))])
