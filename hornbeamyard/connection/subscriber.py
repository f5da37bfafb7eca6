"""A router's stream at a controller, and what is to be sent to it."""

from __future__ import annotations

from typing import Any

import anyio

from ..pool.upstream_registry import UpstreamStart
from ..pool.usage import CachedPart
from .directory_codec import UsageDecoder


class Subscriber:
    """A router's stream at a controller, and what is to be sent to it.

    Attributes
    ----------
    cached_parts : list of CachedPart
        To send with the next fleet usage.
    crashes_sent : int
        Number of the last change of crashes sent.
    controllers_sent : tuple of str
        Addresses of the controllers in the last list sent.
    digest_key_sent : bytes
        Key of request digests that was sent last.
    evacuations_sent : int
        Index of the log entry with the evacuated zones that were sent last.
    name : str
        Host and incarnation of the router.
    number : int
        Number of the router among the attached ones, from 1.
    pending_limits : dict
        Messages on rate limits to send, by start of the upstream.
    pending_records, pending_renewals : dict
        Messages to send, by id of the upstream.
    fleet_usage_due : bool
        Whether the next update contains the fleet usage.
    usage_decoder : UsageDecoder
        Decodes the router's reports.
    usage_sent : int
        Number of the last fleet usage sent.
    version_sent : int
        Last routing version sent.
    voters_sent : int
        Index of the log entry with the voters that were sent last.
    wake : anyio.Event
        Set when there is something to send.
    """

    __slots__ = (
        "cached_parts",
        "controllers_sent",
        "crashes_sent",
        "digest_key_sent",
        "evacuations_sent",
        "fleet_usage_due",
        "name",
        "number",
        "pending_limits",
        "pending_records",
        "pending_renewals",
        "usage_decoder",
        "usage_sent",
        "version_sent",
        "voters_sent",
        "wake",
    )

    def __init__(self, name: str) -> None:
        self.controllers_sent: tuple[str, ...] = ()
        self.crashes_sent = 0
        self.digest_key_sent = b""
        self.evacuations_sent = 0
        self.name = name
        self.cached_parts: list[CachedPart] = []
        self.number = 0
        self.pending_limits: dict[UpstreamStart, Any] = {}
        self.pending_records: dict[str, Any] = {}
        self.pending_renewals: dict[str, Any] = {}
        self.usage_decoder = UsageDecoder()
        self.usage_sent = 0
        self.fleet_usage_due = False
        self.version_sent = -1
        self.voters_sent = 0
        self.wake = anyio.Event()
