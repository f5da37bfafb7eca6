"""Names of the platform's headers."""

from __future__ import annotations

from ..request.headers import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b"x-request-id",
    deadline_ms=b"x-deadline-ms",
    key=b"api-key",
    key_prefix=b"",
    account=b"x-tenant",
    model=b"x-model",
    token_counts=b"x-token-counts",
    expected_tokens=b"x-length-hint",
    parts=b"x-prompt-prefix",
    upstream=b"x-expect-instance",
    signature=b"x-response-seal",
    not_run=b"x-not-executed",
    copy_from=b"kv-fetch",
    leaving=b"server-leaving",
    # Requests a second, from all routers together.
    max_rate=b"server-limit",
    load=b"x-instance-load",
    resumes=b"resumes",
    router_only=frozenset(
        (
            b"x-hold",
            b"x-pin-ms",
            b"x-kv-backup",
            b"kv-from",
            b"wait-ms",
        )
    ),
)
