"""Digests by which all routers recognise a request that is sent again."""

from __future__ import annotations

import hashlib
import secrets

# Digests stand beside the ids of prompt parts, which contain no colon.
DIGEST_PREFIX = "request:"
# 96 bits: with a million requests, two are the same with a chance of 1e-17.
DIGEST_SIZE = 12
# Size of the key in bytes.
KEY_SIZE = 32


def is_digest(suspect: str) -> bool:
    """Return whether a suspect of a crash is a whole request."""
    return suspect.startswith(DIGEST_PREFIX)


class RequestDigests:
    """Computes digests with a secret key that all routers of a fleet share.

    Without the key, nobody who sees a digest in a log or a report can find
    out by trying which request it stands for.
    """

    __slots__ = ("_is_fleet_key", "_key")

    def __init__(self) -> None:
        # Until a controller has sent the fleet's key, a router recognises
        # requests for itself.
        self._is_fleet_key = False
        self._key = secrets.token_bytes(KEY_SIZE)

    def set_key(self, key: bytes, from_leader: bool) -> None:
        """Use the fleet's key as a controller knows it.

        Parameters
        ----------
        key : bytes
            Empty if the controller doesn't know it.
        from_leader : bool
            Whether the controller leads. Others may know an earlier key.
        """
        if not key or (self._is_fleet_key and not from_leader):
            return
        self._is_fleet_key = True
        self._key = key

    def compute(
        self, method: str, target: bytes, caller: str, body: bytes
    ) -> str:
        """Return the digest of a request.

        Parameters
        ----------
        method : str
        target : bytes
            What the request is for, with path and query.
        caller : str
            Client account, or what else identifies the caller.
        body : bytes
        """
        hasher = hashlib.blake2b(key=self._key, digest_size=DIGEST_SIZE)
        for field in (method.encode(), target, caller.encode()):
            hasher.update(len(field).to_bytes(4, "big"))
            hasher.update(field)
        hasher.update(body)
        return DIGEST_PREFIX + hasher.hexdigest()
