"""Memory for responses that wait for their callers."""

from __future__ import annotations


class ResponseBuffers:
    """Counts the parts of responses that a process holds for its callers.

    A response is read ahead of its caller, so that the upstream is done with
    it soon, and one of moderate size is kept whole, so that the request can be
    sent again. Once all together exceed the limit, each response is passed on
    as it comes, and its upstream waits for the caller.

    Attributes
    ----------
    max_size : float
        In bytes; infinite without a limit.
    size : int
        In bytes.
    """

    __slots__ = ("max_size", "size")

    def __init__(self, max_size: float = float("inf")) -> None:
        self.max_size = max_size
        self.size = 0

    def are_full(self) -> bool:
        """Return whether the responses exceed the limit."""
        return self.size > self.max_size
