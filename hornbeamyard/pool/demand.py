"""What a request demands of its pool."""

from __future__ import annotations

from dataclasses import dataclass, field

from .shares import Grant

# A generated token counts as this many prompt tokens, because engines prefill
# a prompt in large chunks but generate one token of a request at a time.
GENERATED_WEIGHT = 2


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt, which other requests may share.

    Attributes
    ----------
    id : str
    tokens : int
    """

    id: str
    tokens: int


@dataclass(slots=True)
class RequestDemand:
    """The properties of a request on which its placement depends.

    Attributes
    ----------
    request_id : str
    account : str
        Client account; empty on public routes.
    priority : int
        0 is the most urgent.
    arrived_at : float
        Monotonic time in seconds.
    target_s : float
        Time from `arrived_at` within which the response should begin.
    deadline_at : float
        Monotonic time in seconds at which the caller or the route gives up.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    prompt_tokens : int
    output_tokens : int
        Estimate of the tokens to generate.
    model : str
    software_version : str or None
        The only software version that may run the request, because it began
        the stream that the request continues; None for any.
    is_caller_retry : bool
        Whether the caller seems to retry after a refusal.
    is_charged : bool
        Whether the request was already charged to its account's share, so
        that a retry after a failed attempt is not refused for it.
    grant : Grant or None
        What allowed the request to be sent, as of its last placement; None
        for a service that is no model engine, and for a request without share.
    own_tokens : int
        Tokens that no other request shares.
    affinity : str
        Id of the last part that other requests share, or empty.
    digest : str
        Digest of the whole request.
    suspects : tuple of str
        What may be at fault if an upstream crashes under the request: the ids
        of all parts that other requests share, and the digest.
    is_probe : bool
        Whether the request may be sent once although it is blocked.
    """

    request_id: str
    account: str
    priority: int
    arrived_at: float
    target_s: float
    deadline_at: float
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    model: str = ""
    software_version: str | None = None
    is_caller_retry: bool = False
    is_charged: bool = False
    is_probe: bool = False
    digest: str = ""
    grant: Grant | None = None
    own_tokens: int = field(init=False)
    affinity: str = field(init=False)
    suspects: tuple[str, ...] = field(init=False)

    def __post_init__(self) -> None:
        """Compute what each placement reads for each upstream."""
        shared = sum(part.tokens for part in self.parts[:-1])
        self.own_tokens = max(0, self.prompt_tokens - shared)
        self.suspects = tuple(part.id for part in self.parts[:-1])
        self.affinity = self.suspects[-1] if self.suspects else ""
        if self.digest:
            self.suspects += (self.digest,)

    @property
    def size(self) -> int:
        """Weighted tokens that are charged to the account's share."""
        return self.prompt_tokens + GENERATED_WEIGHT * self.output_tokens
