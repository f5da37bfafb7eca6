"""Fields of HTTP messages that are passed on."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any

from ..connection.client import Headers
from ..connection.limits import EMPTY_QUERY

# Headers that concern a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def get_query(scope: MutableMapping[str, Any]) -> bytes:
    """Return the query of a request as it was sent, with its "?"."""
    query: bytes = scope["query_string"]
    has_query = query or EMPTY_QUERY in scope.get("extensions", ())
    return b"?" + query if has_query else b""


def is_encoded(headers: Headers) -> bool:
    """Return whether a body is compressed or encoded in another way."""
    return any(
        name == b"content-encoding" and value.lower() != b"identity"
        for name, value in headers
    )
