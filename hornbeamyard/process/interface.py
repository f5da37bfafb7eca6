"""External interfaces of a process, which deployments may replace."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from result import Result

from ..pool.upstream_registry import Upstream, UpstreamStart
from ..request.headers import HeaderCodec
from ..version.routing import RoutingDecoder, decode_routing
from .validation import Finding

Application = Callable[..., Awaitable[None]]
Message = MutableMapping[str, Any]


@dataclass(slots=True, frozen=True)
class SubmissionResult:
    """The result of submitting a routing.

    Attributes
    ----------
    findings : tuple of str
        All errors of an invalid routing.
    conflict : bool
        Whether its version is stored with other content.
    decided : bool
        False if the outcome is unknown and the operator should retry.
    version : int
        The version that is now stored.
    """

    findings: tuple[str, ...] = ()
    conflict: bool = False
    decided: bool = True
    version: int = 0

    @property
    def status(self) -> HTTPStatus:
        """HTTP status of the response to the operator."""
        if self.findings:
            return HTTPStatus.BAD_REQUEST
        if not self.decided:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return HTTPStatus.CONFLICT if self.conflict else HTTPStatus.OK

    def to_json(self) -> bytes:
        """Return the body of the response to the operator."""
        document = {"version": self.version, "findings": self.findings}
        return json.dumps(document).encode()


@dataclass(slots=True, frozen=True)
class OrderResult:
    """The result of an order to start or end an evacuation.

    Attributes
    ----------
    findings : tuple of str
        Why the name of the zone can't be stored.
    is_full : bool
        Whether too many other zones are evacuated.
    decided : bool
        False if the outcome is unknown and the operator should retry.
    """

    findings: tuple[str, ...] = ()
    is_full: bool = False
    decided: bool = True

    @property
    def status(self) -> HTTPStatus:
        """HTTP status of the response to the operator."""
        if self.findings:
            return HTTPStatus.BAD_REQUEST
        if not self.decided:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return HTTPStatus.CONFLICT if self.is_full else HTTPStatus.OK

    def to_json(self) -> bytes:
        """Return the body of the response to the operator."""
        findings = list(self.findings)
        if self.is_full:
            findings.append("too many availability zones are evacuated")
        return json.dumps({"findings": findings}).encode()


class ControllerApi(Protocol):
    """Requests of operators and upstreams to a controller."""

    async def submit_routing(self, document: bytes) -> SubmissionResult:
        """Submit a routing document, which replaces the current one."""

    async def read_routing(self) -> bytes | None:
        """Return the newest routing document; None if it isn't confirmed."""

    async def order_evacuation(
        self, availability_zone: str, evacuated: bool
    ) -> OrderResult:
        """Start or end the evacuation of an availability zone."""

    async def read_status(self) -> bytes | None:
        """Return the status document; None if it isn't confirmed."""

    def announce(self, upstream: Upstream) -> list[Finding]:
        """Record the announcement of an upstream.

        Returns
        -------
        list of Finding
            Why it isn't recorded; empty if it is.
        """

    async def withdraw(
        self, start: UpstreamStart
    ) -> Result[bool, list[Finding]]:
        """Remove an upstream that leaves.

        Parameters
        ----------
        start : UpstreamStart
            Its start time is 0 if it is unknown.

        Returns
        -------
        Result of bool or list of Finding
            Whether the end is known beyond this controller, so that it
            stands if the controller fails. The error says why the upstream
            isn't removed.
        """


@dataclass(slots=True, frozen=True)
class Interface:
    """Formats and names that a process uses in external interfaces.

    Attributes
    ----------
    header_codec : HeaderCodec
        Headers of requests and responses.
    decode : callable
        Decodes a submitted routing document; the error holds all findings.
    build_controller_app : callable or None
        Returns the ASGI application for operators and upstreams.
    ready_path : str
        Path of the readiness check of load balancers.
    """

    header_codec: HeaderCodec
    decode: RoutingDecoder = decode_routing
    build_controller_app: Callable[[ControllerApi], Application] | None = None
    ready_path: str = "/health/ready"
