"""Digests by which all routers recognise a request that is sent again."""

from __future__ import annotations

import hashlib

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

    Attributes
    ----------
    key : bytes
        Empty until a controller has sent it.
    """

    __slots__ = ("key",)

    def __init__(self) -> None:
        self.key = b""

    def compute(
        self, method: str, target: bytes, caller: str, body: bytes
    ) -> str:
        """Return the digest of a request, or "" while there is no key.

        Parameters
        ----------
        method : str
        target : bytes
            What the request is for, with path and query.
        caller : str
            Client account, or what else identifies the caller.
        body : bytes
        """
        if not self.key:
            return ""
        hasher = hashlib.blake2b(key=self.key, digest_size=DIGEST_SIZE)
        for field in (method.encode(), target, caller.encode()):
            hasher.update(len(field).to_bytes(4, "big"))
            hasher.update(field)
        hasher.update(body)
        return DIGEST_PREFIX + hasher.hexdigest()
