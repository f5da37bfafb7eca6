"""gRPC channels and servers of the fleet, and the check of callers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import grpc
import grpc.aio
import logbook
from anyio.lowlevel import checkpoint_if_cancelled

from ..messages import fleet_pb2
from ..process.settings import Settings, Tls

PROTOCOL_VERSION = 1
# Interval of keepalive pings.
KEEPALIVE_MS = 1000
# Also set as ping timeout: gRPC closes a connection without replies to pings
# only after that timeout, whose default is a minute.
KEEPALIVE_TIMEOUT_MS = 2000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Calls in progress on one connection; more wait at the caller. A router has
# one stream, and look-ups of resumed streams.
MAX_CONCURRENT_CALLS = 256
# Names and values that come with a call. The fleet's calls have none of their
# own; this is gRPC's default, above which it refuses the call.
MAX_METADATA_BYTES = 8 * 1024
# gRPC's default of two minutes is too long a wait after a partition.
MAX_RECONNECT_BACKOFF_MS = 1000

_OPTIONS = [
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.ping_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_concurrent_streams", MAX_CONCURRENT_CALLS),
    ("grpc.max_metadata_size", MAX_METADATA_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
]

# Bounds the size of `_logged_refusals`.
MAX_REMEMBERED_REFUSALS = 1000

T = TypeVar("T")

_log = logbook.Logger("peers")
_logged_refusals: set[tuple[str, str, str]] = set()
_last_credentials: dict[Tls, grpc.ChannelCredentials] = {}


async def wait_call(call: Awaitable[T]) -> T:
    """Await a gRPC call or message in an anyio scope that may be cancelled.

    When a scope cancels the call, grpc raises a `CancelledError` of its own,
    which anyio doesn't recognise: a time limit would silently end the whole
    task instead of the scope. The checkpoint raises the scope's error first.
    """
    try:
        return await call
    except asyncio.CancelledError:
        await checkpoint_if_cancelled()
        raise


def open_channel(address: str, tls: Tls | None) -> grpc.aio.Channel:
    """Open a channel to another process of the fleet.

    Parameters
    ----------
    address : str
        IP address and port.
    tls : Tls or None
        Files for mutual TLS; None for plain text.
    """
    if tls is None:
        return grpc.aio.insecure_channel(address, options=_OPTIONS)
    credentials = _load_credentials(tls)
    return grpc.aio.secure_channel(address, credentials, options=_OPTIONS)


def _load_credentials(tls: Tls) -> grpc.ChannelCredentials:
    """Return credentials from files, the last ones if these can't be read.

    They can't while certificates are replaced, or without free file
    descriptors.
    """
    try:
        credentials = grpc.ssl_channel_credentials(
            root_certificates=tls.authority.read_bytes(),
            private_key=tls.key.read_bytes(),
            certificate_chain=tls.certificate.read_bytes(),
        )
    except OSError as error:
        last = _last_credentials.get(tls)
        if last is None:
            raise
        _log.warning(
            "the certificate files can't be read, so the last ones are used: "
            "{}",
            error,
        )
        return last
    _last_credentials[tls] = credentials
    return credentials


def create_server() -> grpc.aio.Server:
    """Return a server with the fleet's gRPC options, without a port."""
    return grpc.aio.server(options=_OPTIONS)


def add_port(server: grpc.aio.Server, address: str, tls: Tls | None) -> None:
    """Make a server listen on an address.

    Parameters
    ----------
    server : grpc.aio.Server
    address : str
        IP address and port.
    tls : Tls or None
        Files for mutual TLS; None for plain text.

    Raises
    ------
    RuntimeError
        If the address can't be bound.
    """
    if tls is None:
        server.add_insecure_port(address)
        return
    credentials = grpc.ssl_server_credentials(
        [(tls.key.read_bytes(), tls.certificate.read_bytes())],
        root_certificates=tls.authority.read_bytes(),
        require_client_auth=True,
    )
    server.add_secure_port(address, credentials)


def build_identity(settings: Settings, incarnation: int) -> fleet_pb2.Identity:
    """Return the identity that this process sends to others.

    Parameters
    ----------
    settings : Settings
    incarnation : int
        Differs for each start of the process.
    """
    return fleet_pb2.Identity(
        fleet=settings.fleet,
        protocol=PROTOCOL_VERSION,
        host=settings.host,
        incarnation=incarnation,
    )


def find_mismatch(identity: fleet_pb2.Identity, fleet: str) -> str | None:
    """Return why a caller is refused, or None if it may call."""
    if identity.fleet != fleet:
        return f"fleet {identity.fleet[:63]!r} is not this fleet, {fleet!r}"
    if identity.protocol != PROTOCOL_VERSION:
        return (
            f"protocol version {identity.protocol} is not supported; "
            f"this process speaks {PROTOCOL_VERSION}"
        )
    return None


async def check_identity(
    identity: fleet_pb2.Identity,
    fleet: str,
    context: grpc.aio.ServicerContext,
) -> None:
    """Abort a call from another fleet or with another protocol version."""
    mismatch = find_mismatch(identity, fleet)
    if mismatch is None:
        return
    # A refused process retries, so each refusal is logged only once.
    refusal = (context.peer().rpartition(":")[0], identity.host, mismatch)
    if refusal not in _logged_refusals:
        if len(_logged_refusals) >= MAX_REMEMBERED_REFUSALS:
            _logged_refusals.clear()
        _logged_refusals.add(refusal)
        _log.warning(
            "refused host {!r} at {}: {}",
            identity.host[:63],
            refusal[0],
            mismatch,
        )
    await context.abort(grpc.StatusCode.FAILED_PRECONDITION, mismatch)
