"""Routing documents: routes, pools, limits and the keys of client accounts.

A routing is always submitted as a complete document with a version number;
the highest version is in force. It is independent of the configuration that
operators patch.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from result import Err, Ok, Result

from ..pool.choice import Balancing
from ..process import validation
from ..process.documents import read_json
from ..process.validation import Finding, Option, Section

# Priority of routes without one; 0 is the most urgent.
DEFAULT_PRIORITY = 1
# Limits of a routing without its own, similar to those of common servers.
# Sizes are in bytes.
DEFAULT_HEADER_SIZE = 64 * 1024
DEFAULT_BODY_SIZE = 8 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 10_000.0
DEFAULT_IDLE_TIMEOUT_MS = 75_000.0
# Longest duration allowed in a routing: one day.
MAX_DURATION_MS = 86_400_000
# A request with less time left is not retried.
MIN_RETRY_TIME_MS = 100.0


class Repetition(Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    UNREPEATABLE = "unrepeatable"


@dataclass(slots=True, frozen=True)
class Share:
    """A pool of a route, with the weight of its share of the traffic."""

    pool: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Routing rule for requests with one host and path prefix.

    Attributes
    ----------
    name, host, path_prefix : str
    repetition : Repetition
    streaming : bool
        Whether responses are event streams.
    resumable : bool
        Whether a stream may be resumed at another upstream.
    timeout_ms : float
        Maximum time until the response is complete.
    target_ms : float
        Target time for the response, or for its first event.
    max_gap_ms : float
        Target for the longest gap between two events; 0 if there is none.
    priority : int
        0 is the most urgent.
    shares : tuple of Share
        Without pools of weight 0, which get no requests.
    max_attempts : int
        Maximum number of upstreams to which a request is sent.
    public : bool
        Whether requests are accepted without a key.
    """

    name: str
    host: str
    path_prefix: str
    repetition: Repetition
    streaming: bool
    resumable: bool
    timeout_ms: float
    target_ms: float
    max_gap_ms: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    public: bool

    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.streaming:
            return self.resumable
        return self.repetition is Repetition.IDEMPOTENT


@dataclass(slots=True, frozen=True)
class Pool:
    """Upstreams of one service.

    Attributes
    ----------
    name, health_path : str
    connections : int
        Connections that an upstream accepts from all routers together.
    kv_capacity_tokens : int
        Capacity of an engine's KV cache in tokens; 0 for a plain service.
    slots : int
        Requests that an engine runs at a time; 0 for a plain service.
    tokens_per_event : int
        Tokens per event in an engine's streams.
    kv_bytes_per_token : int
        Size of one token in the KV cache, in bytes.
    copy_mbps : float
        Rate at which an engine copies KV cache from another engine, in
        Mbit/s; 0 if engines can't.
    cold_rate : float
        Requests a second that a cold upstream takes from all routers
        together; 0 for no limit.
    cold_start_s : float
        Time for which an upstream is cold after its start, in seconds.
    balancing : Balancing
        How requests are spread over the upstreams.
    """

    name: str
    health_path: str
    connections: int
    kv_capacity_tokens: int = 0
    slots: int = 0
    tokens_per_event: int = 1
    kv_bytes_per_token: int = 0
    copy_mbps: float = 0.0
    cold_rate: float = 0.0
    cold_start_s: float = 0.0
    balancing: Balancing = Balancing.LEAST_LOADED

    def is_engine(self) -> bool:
        """Return whether the upstreams are model engines."""
        return self.kv_capacity_tokens > 0

    def compute_token_copy_ms(self) -> float:
        """Return the time to copy one token's KV cache, in milliseconds.

        It is 0 if engines can't copy from each other, or not in any time that
        a number can express.
        """
        if not self.kv_bytes_per_token or not self.copy_mbps:
            return 0.0
        copy_ms = self.kv_bytes_per_token * 8 / (self.copy_mbps * 1000)
        return copy_ms if math.isfinite(copy_ms) else 0.0


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on callers' requests, and the token rate of the engines.

    Attributes
    ----------
    header_size, body_size : int
        Maximum size of a request's header and body, in bytes.
    header_timeout_ms, idle_timeout_ms : float
        Maximum time to receive a header, and to keep an idle connection open.
    tokens_per_s : float
        Tokens that all engines together process per second, where a generated
        token counts as two; 0 if it isn't known.
    """

    header_size: int = DEFAULT_HEADER_SIZE
    body_size: int = DEFAULT_BODY_SIZE
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS
    tokens_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class AccountKeys:
    """Keys of a client account, and its priority if it overrides a route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(slots=True)
class Routing:
    """One version of the routing, with indexes for look-ups.

    Attributes
    ----------
    version : int
    routes : dict of str to Route
    pools : dict of str to Pool
    limits : Limits
    accounts : dict of str to AccountKeys
    """

    version: int
    routes: dict[str, Route] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    accounts: dict[str, AccountKeys] = field(default_factory=dict)
    _by_host: dict[str, dict[str, Route]] = field(default_factory=dict)
    _by_key: dict[str, AccountKeys] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.routes.values():
            routes_by_prefix = self._by_host.setdefault(route.host.lower(), {})
            routes_by_prefix[route.path_prefix] = route
        for account in self.accounts.values():
            for key in account.keys:
                self._by_key[key] = account

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        routes_by_prefix = self._by_host.get(host.lower())
        if routes_by_prefix is None:
            return None
        for prefix in _list_prefixes(path):
            route = routes_by_prefix.get(prefix)
            if route is not None:
                return route
        return None

    def find_account(self, key: str) -> AccountKeys | None:
        """Return the account that holds a key, or None."""
        return self._by_key.get(key)


def _list_prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path at which a route may end, longest first."""
    yield path
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


# Parses a submitted document, or returns everything that is wrong with it.
RoutingDecoder = Callable[[bytes], Result[Routing, list[Finding]]]


_DURATION = validation.check_number(0, MAX_DURATION_MS, "ms")
_OBJECT_LIST = validation.check_list(validation.check_object)
_DOCUMENT_SCHEMA = Section(
    {
        "version": Option(
            validation.check_integer(1, 2**63 - 1), required=True
        ),
        "routes": Option(_OBJECT_LIST, required=True),
        "pools": Option(_OBJECT_LIST, required=True),
        "limits": Section(
            {
                "header_size": Option(validation.check_integer(1, 2**31)),
                "body_size": Option(validation.check_integer(1, 2**31)),
                "header_timeout_ms": Option(_DURATION),
                "idle_timeout_ms": Option(_DURATION),
                "tokens_per_s": Option(
                    validation.check_number(0, 1e12, "tokens a second")
                ),
            }
        ),
        "client_accounts": Option(_OBJECT_LIST),
    }
)
_ROUTE_SCHEMA = Section(
    {
        "name": Option(validation.check_text, required=True),
        "host": Option(validation.check_text, required=True),
        "path_prefix": Option(validation.check_text, required=True),
        "repetition": Option(
            validation.check_choice(*(kind.value for kind in Repetition)),
            required=True,
        ),
        "streaming": Option(validation.check_boolean),
        "resumable": Option(validation.check_boolean),
        "timeout_ms": Option(_DURATION, required=True),
        "target_ms": Option(_DURATION),
        "longest_gap_ms": Option(_DURATION),
        "priority": Option(validation.check_integer(0, 1_000_000)),
        "shares": Option(_OBJECT_LIST, required=True),
        "most_attempts": Option(validation.check_integer(1, 1000)),
        "public": Option(validation.check_boolean),
    }
)
_SHARE_SCHEMA = Section(
    {
        "pool": Option(validation.check_text, required=True),
        "weight": Option(validation.check_number(0, 1e12, "")),
    }
)
_POOL_SCHEMA = Section(
    {
        "name": Option(validation.check_text, required=True),
        "health_path": Option(validation.check_text),
        "connections": Option(validation.check_integer(0, 2**31)),
        "memory_tokens": Option(validation.check_integer(0, 2**63)),
        "slots": Option(validation.check_integer(0, 2**31)),
        "tokens_per_event": Option(validation.check_integer(1, 2**20)),
        "token_size": Option(validation.check_integer(0, 2**40)),
        "copy_mbps": Option(validation.check_number(0, 1e12, "Mbit/s")),
        "cold_rate": Option(
            validation.check_number(0, 1e6, "requests a second")
        ),
        "cold_start_s": Option(validation.check_number(0, 86_400, "s")),
        "balancing": Option(
            validation.check_choice(*(way.value for way in Balancing))
        ),
    }
)
_ACCOUNT_SCHEMA = Section(
    {
        "name": Option(validation.check_text, required=True),
        "keys": Option(
            validation.check_list(validation.check_text),
            required=True,
            secret=True,
        ),
        "priority": Option(validation.check_integer(0, 1_000_000)),
    }
)


def decode_routing(data: bytes) -> Result[Routing, list[Finding]]:
    """Parse a routing document in the native JSON format."""
    document = read_json(data)
    if isinstance(document, Err):
        return Err([Finding("", document.err_value)])
    return parse_routing(document.ok_value)


def parse_routing(document: Any) -> Result[Routing, list[Finding]]:
    """Validate a routing document and build the routing.

    Returns
    -------
    Result of Routing or list of Finding
        The error lists everything that is wrong with the document.
    """
    findings = validation.check_document(document, _DOCUMENT_SCHEMA)
    if findings:
        return Err(findings)
    findings = [
        *_check_items(document, "routes", _ROUTE_SCHEMA),
        *_check_items(document, "pools", _POOL_SCHEMA),
        *_check_items(document, "client_accounts", _ACCOUNT_SCHEMA),
        *_check_shares(document),
    ]
    if findings:
        return Err(findings)
    routing = _build_routing(document)
    findings = [
        *_check_names(document),
        *_check_routes(routing, document),
        *_check_keys(document),
    ]
    return Err(findings) if findings else Ok(routing)


def _check_items(
    document: dict[str, Any], key: str, section: Section
) -> Iterator[Finding]:
    for index, item in enumerate(document.get(key, [])):
        for finding in validation.check_document(item, section):
            suffix = f".{finding.key_path}" if finding.key_path else ""
            yield Finding(f"{key}.{index}{suffix}", finding.message)


def _check_shares(document: dict[str, Any]) -> Iterator[Finding]:
    for index, route in enumerate(document["routes"]):
        shares = route.get("shares") if isinstance(route, dict) else None
        if not isinstance(shares, list):
            continue
        key_path = f"routes.{index}.shares"
        findings = list(
            _check_items({"shares": shares}, "shares", _SHARE_SCHEMA)
        )
        yield from (
            Finding(f"routes.{index}.{f.key_path}", f.message)
            for f in findings
        )
        if not findings and not sum(s.get("weight", 1) for s in shares) > 0:
            yield Finding(key_path, "the weights add up to 0")


def _check_names(document: dict[str, Any]) -> Iterator[Finding]:
    for key in ("routes", "pools", "client_accounts"):
        seen: set[str] = set()
        for index, item in enumerate(document.get(key, [])):
            if item["name"] in seen:
                yield Finding(
                    f"{key}.{index}.name", f"{item['name']!r} occurs twice"
                )
            seen.add(item["name"])


def _check_routes(
    routing: Routing, document: dict[str, Any]
) -> Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for index, item in enumerate(document["routes"]):
        key_path = f"routes.{index}"
        key = (item["host"].lower(), item["path_prefix"])
        owner = seen.setdefault(key, item["name"])
        if owner != item["name"]:
            yield Finding(key_path, f"has the host and prefix of {owner!r}")
        if not item["timeout_ms"] > 0:
            yield Finding(
                f"{key_path}.timeout_ms", "is 0; give a positive time"
            )
        for share in item["shares"]:
            if share["pool"] not in routing.pools:
                yield Finding(
                    f"{key_path}.shares", f"there is no pool {share['pool']!r}"
                )


def _check_keys(document: dict[str, Any]) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for index, item in enumerate(document.get("client_accounts", [])):
        key_path = f"client_accounts.{index}.keys"
        for key in item["keys"]:
            owner = owners.setdefault(key, item["name"])
            if owner != item["name"]:
                yield Finding(key_path, f"shares a key with {owner!r}")


def _build_routing(document: dict[str, Any]) -> Routing:
    routes = [_build_route(item) for item in document["routes"]]
    pools = [
        Pool(
            item["name"],
            item.get("health_path", "/"),
            item.get("connections", 0),
            item.get("memory_tokens", 0),
            item.get("slots", 0),
            item.get("tokens_per_event", 1),
            item.get("token_size", 0),
            item.get("copy_mbps", 0.0),
            item.get("cold_rate", 0.0),
            item.get("cold_start_s", 0.0),
            Balancing(item.get("balancing", Balancing.LEAST_LOADED.value)),
        )
        for item in document["pools"]
    ]
    accounts = [
        AccountKeys(item["name"], tuple(item["keys"]), item.get("priority"))
        for item in document.get("client_accounts", [])
    ]
    return Routing(
        document["version"],
        {route.name: route for route in routes},
        {pool.name: pool for pool in pools},
        Limits(**document.get("limits", {})),
        {account.name: account for account in accounts},
    )


def _build_route(item: dict[str, Any]) -> Route:
    shares = tuple(
        Share(share["pool"], share.get("weight", 1))
        for share in item["shares"]
        if share.get("weight", 1) > 0
    )
    return Route(
        name=item["name"],
        host=item["host"],
        path_prefix=item["path_prefix"],
        repetition=Repetition(item["repetition"]),
        streaming=item.get("streaming", False),
        resumable=item.get("resumable", False),
        timeout_ms=item["timeout_ms"],
        target_ms=item.get("target_ms", 0) or item["timeout_ms"],
        max_gap_ms=item.get("longest_gap_ms", 0),
        priority=item.get("priority", DEFAULT_PRIORITY),
        shares=shares,
        max_attempts=item.get("most_attempts", 1),
        public=item.get("public", False),
    )
