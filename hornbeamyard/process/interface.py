"""What a deployment may exchange of the product's interfaces."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from ..pool.upstream_registry import Upstream
from ..request.headers import HeaderCodec
from ..version.routing import RoutingDecoder, decode_routing

Application = Callable[..., Awaitable[None]]
Message = MutableMapping[str, Any]


@dataclass(slots=True, frozen=True)
class SubmissionResult:
    """What became of a submitted routing.

    Attributes
    ----------
    findings : tuple of str
        Everything that is wrong with an invalid one.
    conflict : bool
        Whether other content is held under its version.
    decided : bool
        False when the outcome is unknown; send it again.
    version : int
        The version that is held now.
    """

    findings: tuple[str, ...] = ()
    conflict: bool = False
    decided: bool = True
    version: int = 0

    @property
    def status(self) -> HTTPStatus:
        """HTTP status of the answer to the operator."""
        if self.findings:
            return HTTPStatus.BAD_REQUEST
        if not self.decided:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return HTTPStatus.CONFLICT if self.conflict else HTTPStatus.OK

    def to_json(self) -> bytes:
        """Return the body of the answer to the operator."""
        document = {"version": self.version, "findings": self.findings}
        return json.dumps(document).encode()


class ControllerApi(Protocol):
    """What operators and upstreams ask of a controller."""

    async def submit_routing(self, document: bytes) -> SubmissionResult:
        """Take a whole routing."""

    async def read_routing(self) -> bytes | None:
        """Return the newest routing as submitted; None when unsure."""

    def announce(self, upstream: Upstream) -> None:
        """Take an upstream's announcement."""

    def withdraw(self, id: str, started_ms: int) -> None:
        """Take note that an upstream leaves."""


@dataclass(slots=True, frozen=True)
class Interface:
    """Formats and names that processes speak towards the outside.

    Attributes
    ----------
    dialect : HeaderCodec
        Headers of requests and answers.
    decode : callable
        Reads a submitted routing.
    build_controller_app : callable
        Returns the ASGI application for operators and upstreams.
    ready_path : str
        Path at which load balancers ask whether a router is ready.
    """

    dialect: HeaderCodec
    decode: RoutingDecoder = decode_routing
    build_controller_app: Callable[[ControllerApi], Application] | None = None
    ready_path: str = "/health/ready"
