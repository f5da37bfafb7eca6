"""Checks of the platform's configuration document before it is sent."""

from __future__ import annotations

from typing import Any

from ..process.positions import Path
from ..version.lint import Format
from .configuration import (
    ACCOUNT_FIELDS,
    ENGINE_FIELDS,
    LIMIT_FIELDS,
    POOL_FIELDS,
    ROUTE_FIELDS,
    decode_configuration,
    translate_document,
)


def find_source(document: Any, path: Path) -> Path | None:
    """Return where the value of a path in a routing document comes from.

    Parameters
    ----------
    document : object
        The parsed configuration document of the platform.
    path : Path
        Path in the routing document that it is translated into.

    Returns
    -------
    Path or None
        Path in `document`, where it may lack the last keys; None for the
        weight of a pool that is not in a split, which `document` lacks.
    """
    match path:
        case ("routes", int(index), "shares", *rest):
            return _find_share(document, ("routes", index), rest)
        case ("routes", int(index), "repetition" | "streaming", *_):
            return ("routes", index, "routeKind")
        case ("routes", int(index), str(key), *rest):
            return ("routes", index, _find_name(ROUTE_FIELDS, key), *rest)
        case ("pools", int(index), "copy_mbps"):
            return ("services", index, "engine", "linkMbps")
        case ("pools", int(index), str(key), *rest):
            if key in ENGINE_FIELDS.values():
                name = _find_name(ENGINE_FIELDS, key)
                return ("services", index, "engine", name, *rest)
            return ("services", index, _find_name(POOL_FIELDS, key), *rest)
        case ("client_accounts", int(index), str(key), *rest):
            return ("tenants", index, _find_name(ACCOUNT_FIELDS, key), *rest)
        case ("limits", str(key), *rest):
            return ("limits", _find_name(LIMIT_FIELDS, key), *rest)
        case ("pools", *rest):
            return ("services", *rest)
        case ("client_accounts", *rest):
            return ("tenants", *rest)
    return path


def _find_share(
    document: Any, route: Path, rest: list[str | int]
) -> Path | None:
    item = document["routes"][route[-1]]
    split = item.get("trafficSplit")
    if not split:
        return None if "weight" in rest else (*route, "service")
    match rest:
        case [int(index), "weight"] if index == len(split):
            return None
        case [int(index), *_] if index == len(split):
            return (*route, "service")
        case [int(index), "pool"]:
            return (*route, "trafficSplit", index, "service")
    return (*route, "trafficSplit", *rest)


def _find_name(names: dict[str, str], translated: str) -> str:
    for name, other in names.items():
        if other == translated:
            return name
    return translated


FORMAT = Format(
    decode_configuration,
    translate_document,
    find_source,
    frozenset({_find_name(ACCOUNT_FIELDS, "keys")}),
)
