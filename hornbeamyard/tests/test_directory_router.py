"""Tests of the router role that routes by the route directory."""

from __future__ import annotations

import io
import json

import anyio
import pytest

from hornbeamyard.process.decisions import DecisionLog
from hornbeamyard.process.directory_router import (
    NOT_READY_GRACE_S,
    OVERLOAD_RETRY_AFTER_S,
    DirectoryRouter,
    compute_remaining_drain,
)
from hornbeamyard.process.interface import Interface
from hornbeamyard.process.logs import LineWriter
from hornbeamyard.process.settings import (
    DirectorySettings,
    RouterSettings,
    Settings,
)
from hornbeamyard.process.timers import MonotonicTimers
from hornbeamyard.request.headers import NATIVE_HEADER_NAMES, HeaderCodec

# Part of the time of a stop in which no running request may be cut off.
LEAST_PART = 5 / 6


class TestDrain:
    """A planned stop gives running requests nearly all of its time."""

    @pytest.mark.parametrize("drain_s", [5.0, 8.0, 9.5, 30.0])
    def test_requests_are_not_cut_early(self, drain_s: float) -> None:
        """Guards against a drain cut short by rounding to whole seconds.

        With a stop of 8 s requests were cut off after 6.5 s (hunted day
        trouble-2 of millisafn-ill, seed 846404225414).
        """
        ends_s = NOT_READY_GRACE_S + compute_remaining_drain(
            drain_s, NOT_READY_GRACE_S
        )
        assert LEAST_PART * drain_s <= ends_s < drain_s

    def test_stop_that_is_late_already(self) -> None:
        assert compute_remaining_drain(2.0, 2.5) > 0


class TestOverload:
    """A router without processor time sends callers to other routers."""

    def test_refusal(self) -> None:
        """Load pattern: one caller's burst, all at one router.

        Guards against requests that wait for the processor until their
        deadline, while other routers have time.
        """

        async def test() -> None:
            settings = Settings(
                "test",
                "r1",
                "zone-a",
                {},
                router=RouterSettings("127.0.0.1:0"),
                directory=DirectorySettings(["127.0.0.1:1"]),
            )
            timers = MonotonicTimers()
            lines = io.StringIO()
            writer = LineWriter(lines)
            router = DirectoryRouter(
                settings,
                timers,
                Interface(HeaderCodec(NATIVE_HEADER_NAMES)),
                DecisionLog(timers, "r1", writer),
            )
            limits = router._limits
            assert b"/any/path".startswith(limits.limited_paths)
            answer = limits.build_refusal([(b"hornbeamyard-request", b"q7")])
            head, body = answer.split(b"\r\n\r\n")
            headers = dict(
                line.split(b": ") for line in head.split(b"\r\n")[1:]
            )
            assert head.startswith(b"HTTP/1.1 503 ")
            assert headers[b"hornbeamyard-request"] == b"q7"
            assert (
                0 < float(headers[b"retry-after"]) < 2 * OVERLOAD_RETRY_AFTER_S
            )
            assert int(headers[b"content-length"]) == len(body)
            writer.flush(1.0)
            line = json.loads(lines.getvalue().splitlines()[-1])
            assert line["reason"] == "overloaded"
            assert line["request_id"] == "q7"

        anyio.run(test)
