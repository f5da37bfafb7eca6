"""Routing documents: routes, pools, limits and the keys of accounts.

A whole routing is submitted under a version number, and the highest version
is in force. It stands beside the configuration that operators patch.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from result import Err, Ok, Result

from ..process import validation
from ..process.validation import Finding, Option, Section

# Priority of routes and accounts that name none; 0 is the most urgent.
DEFAULT_PRIORITY = 1
# Limits of a routing that names none; common servers use similar ones.
DEFAULT_HEADER_SIZE = 64 * 1024
DEFAULT_BODY_SIZE = 8 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 10_000.0
DEFAULT_IDLE_TIMEOUT_MS = 75_000.0
# Most milliseconds of any duration in a routing: a day.
MAX_DURATION_MS = 86_400_000


class Repetition(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    UNREPEATABLE = "unrepeatable"


@dataclass(slots=True, frozen=True)
class Share:
    """A pool of a route and its weight among the route's pools."""

    pool: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes
    ----------
    name, host, path_prefix : str
    repetition : Repetition
    streaming : bool
        Whether answers are streams of events.
    resumable : bool
        Whether a stream may go on at another upstream.
    timeout_ms : float
        Longest time until the final answer.
    target_ms : float
        Time within which the answer, or its first event, should come.
    longest_gap_ms : float
        Longest pause between events that is still on time; 0 without one.
    priority : int
        0 is the most urgent.
    shares : tuple of Share
    most_attempts : int
        Upstreams to which one request may be sent.
    public : bool
        Whether requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    repetition: Repetition
    streaming: bool
    resumable: bool
    timeout_ms: float
    target_ms: float
    longest_gap_ms: float
    priority: int
    shares: tuple[Share, ...]
    most_attempts: int
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
    memory_tokens : int
        Tokens that an engine holds at a time; 0 for a plain service.
    slots : int
        Requests that an engine runs at a time; 0 for a plain service.
    tokens_per_event : int
        Tokens in an event of an engine's streams.
    token_size : int
        Bytes of an engine's memory for one token.
    copy_mbps : float
        Rate at which an engine copies the memory of prompts from another
        one, in megabits a second; 0 where engines can't.
    """

    name: str
    health_path: str
    connections: int
    memory_tokens: int = 0
    slots: int = 0
    tokens_per_event: int = 1
    token_size: int = 0
    copy_mbps: float = 0.0

    def is_engine(self) -> bool:
        """Return whether the upstreams are model engines."""
        return self.memory_tokens > 0

    def compute_token_copy_ms(self) -> float:
        """Return the time to copy a token's memory; 0 where engines can't."""
        if not self.token_size or not self.copy_mbps:
            return 0.0
        return self.token_size * 8 / (self.copy_mbps * 1000)


@dataclass(slots=True, frozen=True)
class Limits:
    """What a caller may send, and what the engines produce.

    Attributes
    ----------
    header_size, body_size : int
        In bytes.
    header_timeout_ms, idle_timeout_ms : float
    tokens_per_s : float
        Tokens that all engines produce together, a generated one counted
        twice; 0 when it isn't known.
    """

    header_size: int = DEFAULT_HEADER_SIZE
    body_size: int = DEFAULT_BODY_SIZE
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS
    tokens_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class AccountKeys:
    """A client account's keys and its priority, if it has one of its own."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(slots=True)
class Routing:
    """One version of the routing, ready for look-ups.

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
        """Return the route with the longest prefix of the path, if any."""
        routes_by_prefix = self._by_host.get(host.lower())
        if routes_by_prefix is None:
            return None
        for prefix in _list_prefixes(path):
            route = routes_by_prefix.get(prefix)
            if route is not None:
                return route
        return None

    def find_account(self, key: str) -> AccountKeys | None:
        """Return the account that holds a key, if any."""
        return self._by_key.get(key)


def _list_prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path at which a route may end, longest first."""
    yield path
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


# Decodes a submitted document, or returns all that is wrong with it.
RoutingDecoder = Callable[[bytes], Result[Routing, list[Finding]]]


_MS = validation.check_number(0, MAX_DURATION_MS, "ms")
_OBJECTS = validation.check_list(validation.check_object)
_SCHEMA = Section(
    {
        "version": Option(
            validation.check_integer(1, 2**63 - 1), required=True
        ),
        "routes": Option(_OBJECTS, required=True),
        "pools": Option(_OBJECTS, required=True),
        "limits": Section(
            {
                "header_size": Option(validation.check_integer(1, 2**31)),
                "body_size": Option(validation.check_integer(1, 2**31)),
                "header_timeout_ms": Option(_MS),
                "idle_timeout_ms": Option(_MS),
                "tokens_per_s": Option(
                    validation.check_number(0, 1e12, "tokens a second")
                ),
            }
        ),
        "client_accounts": Option(_OBJECTS),
    }
)
_ROUTE = Section(
    {
        "name": Option(validation.check_string, required=True),
        "host": Option(validation.check_string, required=True),
        "path_prefix": Option(validation.check_string, required=True),
        "repetition": Option(
            validation.check_choice(*(kind.value for kind in Repetition)),
            required=True,
        ),
        "streaming": Option(validation.check_boolean),
        "resumable": Option(validation.check_boolean),
        "timeout_ms": Option(_MS, required=True),
        "target_ms": Option(_MS),
        "longest_gap_ms": Option(_MS),
        "priority": Option(validation.check_integer(0, 1_000_000)),
        "shares": Option(_OBJECTS, required=True),
        "most_attempts": Option(validation.check_integer(1, 1000)),
        "public": Option(validation.check_boolean),
    }
)
_SHARE = Section(
    {
        "pool": Option(validation.check_string, required=True),
        "weight": Option(validation.check_number(0, 1e12, "")),
    }
)
_POOL = Section(
    {
        "name": Option(validation.check_string, required=True),
        "health_path": Option(validation.check_string),
        "connections": Option(validation.check_integer(0, 2**31)),
        "memory_tokens": Option(validation.check_integer(0, 2**63)),
        "slots": Option(validation.check_integer(0, 2**31)),
        "tokens_per_event": Option(validation.check_integer(1, 2**20)),
        "token_size": Option(validation.check_integer(0, 2**40)),
        "copy_mbps": Option(validation.check_number(0, 1e12, "Mbit/s")),
    }
)
_ACCOUNT = Section(
    {
        "name": Option(validation.check_string, required=True),
        "keys": Option(
            validation.check_list(validation.check_string),
            required=True,
            secret=True,
        ),
        "priority": Option(validation.check_integer(0, 1_000_000)),
    }
)


def decode_routing(data: bytes) -> Result[Routing, list[Finding]]:
    """Return the routing of a document in the product's own format."""
    try:
        document = json.loads(data)
    except ValueError as error:
        return Err([Finding("", f"is not JSON: {error}")])
    return parse_routing(document)


def parse_routing(document: Any) -> Result[Routing, list[Finding]]:
    """Check a routing document and build the routing.

    Returns
    -------
    Result of Routing or list of Finding
        The error holds everything that is wrong.
    """
    findings = validation.check_document(document, _SCHEMA)
    if findings:
        return Err(findings)
    findings = [
        *_check_items(document, "routes", _ROUTE),
        *_check_items(document, "pools", _POOL),
        *_check_items(document, "client_accounts", _ACCOUNT),
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
    for place, item in enumerate(document.get(key, [])):
        for finding in validation.check_document(item, section):
            inner = f".{finding.key_path}" if finding.key_path else ""
            yield Finding(f"{key}.{place}{inner}", finding.message)


def _check_shares(document: dict[str, Any]) -> Iterator[Finding]:
    for place, route in enumerate(document["routes"]):
        shares = route.get("shares") if isinstance(route, dict) else None
        if not isinstance(shares, list):
            continue
        where = f"routes.{place}.shares"
        findings = list(_check_items({"shares": shares}, "shares", _SHARE))
        yield from (
            Finding(f"routes.{place}.{f.key_path}", f.message)
            for f in findings
        )
        if not findings and not sum(s.get("weight", 1) for s in shares) > 0:
            yield Finding(where, "the weights add up to 0")


def _check_names(document: dict[str, Any]) -> Iterator[Finding]:
    for key in ("routes", "pools", "client_accounts"):
        seen: set[str] = set()
        for place, item in enumerate(document.get(key, [])):
            if item["name"] in seen:
                yield Finding(
                    f"{key}.{place}.name", f"{item['name']!r} occurs twice"
                )
            seen.add(item["name"])


def _check_routes(
    routing: Routing, document: dict[str, Any]
) -> Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for place, item in enumerate(document["routes"]):
        where = f"routes.{place}"
        key = (item["host"].lower(), item["path_prefix"])
        owner = seen.setdefault(key, item["name"])
        if owner != item["name"]:
            yield Finding(where, f"has the host and prefix of {owner!r}")
        if not item["timeout_ms"] > 0:
            yield Finding(f"{where}.timeout_ms", "is 0; give a longer one")
        for share in item["shares"]:
            if share["pool"] not in routing.pools:
                yield Finding(
                    f"{where}.shares", f"there is no pool {share['pool']!r}"
                )


def _check_keys(document: dict[str, Any]) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for place, item in enumerate(document.get("client_accounts", [])):
        where = f"client_accounts.{place}.keys"
        for key in item["keys"]:
            owner = owners.setdefault(key, item["name"])
            if owner != item["name"]:
                yield Finding(where, f"shares a key with {owner!r}")


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
        longest_gap_ms=item.get("longest_gap_ms", 0),
        priority=item.get("priority", DEFAULT_PRIORITY),
        shares=shares,
        most_attempts=item.get("most_attempts", 1),
        public=item.get("public", False),
    )
