"""Small documents that are read from other processes over HTTP."""

from __future__ import annotations

import anyio

from .client import open_connection


async def retrieve(
    address: str, target: str, max_size: int, timeout_s: float
) -> tuple[int, bytes]:
    """Send a GET request over a connection of its own.

    What answers may be faulty, so its response is bounded in bytes as well as
    in time.

    Parameters
    ----------
    address : str
        `host:port`.
    target : str
        Path and query.
    max_size : int
        Maximum size of the body in bytes.
    timeout_s : float
        Time limit in seconds for all of it.

    Returns
    -------
    (int, bytes)
        Status and body.

    Raises
    ------
    OSError
        If there is no complete response within the limits.
    """
    host, _, port = address.rpartition(":")
    headers = [(b"host", address.encode()), (b"connection", b"close")]
    try:
        with anyio.fail_after(timeout_s):
            connection = await open_connection(
                host.strip("[]"), int(port), 0.0
            )
            try:
                response = await connection.request(
                    "GET", target.encode(), headers, b""
                )
                return response.status, await response.read(max_size)
            finally:
                await connection.aclose()
    except TimeoutError:
        raise TimeoutError(
            f"no complete response within {timeout_s:g} s"
        ) from None
