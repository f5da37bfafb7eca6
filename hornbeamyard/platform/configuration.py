"""Translation of the platform's configuration document into a routing."""

from __future__ import annotations

from typing import Any

from result import Err, Result

from ..process.documents import read_json
from ..process.validation import Finding
from ..version.routing import Routing, parse_routing

# Fields of the platform's document, with their names in the routing document.
ROUTE_FIELDS = {
    "name": "name",
    "host": "host",
    "pathPrefix": "path_prefix",
    "timeoutMs": "timeout_ms",
    "targetLatencyMs": "target_ms",
    # It bounds the gap between two events, not their mean gap.
    "targetGapMs": "longest_gap_ms",
    "priority": "priority",
    "maxAttempts": "most_attempts",
    "public": "public",
    "streamResumption": "resumable",
}
POOL_FIELDS = {
    "name": "name",
    "healthCheckPath": "health_path",
    "connectionLimit": "connections",
    "coldPerS": "cold_rate",
    "coldStartS": "cold_start_s",
}
ENGINE_FIELDS = {
    "slots": "slots",
    "kvCapacityTokens": "memory_tokens",
    "stride": "tokens_per_event",
    "tokenKvBytes": "token_size",
}
LIMIT_FIELDS = {
    "maxHeaderBytes": "header_size",
    "maxBodyBytes": "body_size",
    "headerTimeoutMs": "header_timeout_ms",
    "idleTimeoutMs": "idle_timeout_ms",
    "tokensPerS": "tokens_per_s",
}
ACCOUNT_FIELDS = {"name": "name", "apiKeys": "keys", "priority": "priority"}
_REPETITION_BY_ROUTE_KIND = {
    "idempotent": "idempotent",
    "non_idempotent": "unrepeatable",
    # A stream may be sent again only if its route is resumable.
    "streaming": "unrepeatable",
}


def decode_configuration(data: bytes) -> Result[Routing, list[Finding]]:
    """Parse the platform's configuration document into a routing.

    Fields that have no counterpart in a routing are ignored.
    """
    parsed = read_json(data)
    if isinstance(parsed, Err):
        return Err([Finding("", parsed.err_value)])
    document = parsed.ok_value
    if not isinstance(document, dict):
        return Err([Finding("", "is not an object")])
    return parse_routing(translate_document(document))


def translate_document(document: dict[str, Any]) -> dict[str, Any]:
    """Return the platform's configuration document as a routing document."""
    translated = {
        "version": document.get("version"),
        "routes": _translate_list(document.get("routes"), _translate_route),
        "pools": _translate_list(document.get("services"), _translate_pool),
        "limits": _translate_limits(
            {} if document.get("limits") is None else document["limits"]
        ),
    }
    if document.get("tenants") is not None:
        translated["client_accounts"] = _translate_list(
            document["tenants"],
            lambda item: _rename_fields(item, ACCOUNT_FIELDS),
        )
    return translated


def _translate_route(item: dict[str, Any]) -> dict[str, Any]:
    route = _rename_fields(item, ROUTE_FIELDS)
    kind = item.get("routeKind")
    route["repetition"] = _REPETITION_BY_ROUTE_KIND.get(str(kind), kind)
    route["streaming"] = kind == "streaming"
    if item.get("trafficSplit"):
        route["shares"] = _translate_list(
            item["trafficSplit"],
            lambda share: _rename_fields(
                share, {"service": "pool", "weight": "weight"}
            ),
        )
        if isinstance(route["shares"], list) and item.get("service"):
            # It gets no requests beside a split, but has to exist.
            route["shares"].append({"pool": item["service"], "weight": 0})
    else:
        route["shares"] = [{"pool": item.get("service"), "weight": 1}]
    return route


def _translate_pool(item: dict[str, Any]) -> dict[str, Any]:
    engine = item.get("engine")
    pool = _rename_fields(item, POOL_FIELDS)
    if isinstance(engine, dict):
        pool |= _rename_fields(engine, ENGINE_FIELDS)
        if engine.get("moves"):
            pool["copy_mbps"] = engine.get("linkMbps")
    return pool


def _translate_limits(limits: Any) -> Any:
    return (
        _rename_fields(limits, LIMIT_FIELDS)
        if isinstance(limits, dict)
        else limits
    )


def _translate_list(items: Any, translate: Any) -> Any:
    if not isinstance(items, list):
        return items
    return [
        translate(item) if isinstance(item, dict) else item for item in items
    ]


def _rename_fields(item: Any, names: dict[str, str]) -> dict[str, Any]:
    return {
        names[name]: value
        for name, value in item.items()
        if name in names and value is not None
    }
