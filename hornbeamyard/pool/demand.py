"""What a request asks of its pool."""

from __future__ import annotations

from dataclasses import dataclass

# A generated token costs as much as this many prompt tokens. Engines read a
# prompt in large chunks and generate one token of a request at a time.
GENERATED_WEIGHT = 2


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(slots=True)
class RequestDemand:
    """One request, as the placement and the admission see it.

    Attributes
    ----------
    request_id : str
    account : str
        Empty on public routes.
    priority : int
        0 is the most urgent.
    arrived_at : float
        Monotonic time in seconds.
    target_s : float
        Time from `arrived_at` within which the answer should begin.
    deadline_at : float
        Monotonic time at which the caller or the route gives up.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    prompt_tokens : int
    output_tokens : int
        Estimate of the tokens to generate.
    model : str
    is_client_retry : bool
        Whether the caller seems to come back after a refusal.
    is_charged : bool
        Whether the account's share was charged, so that a repeat after a
        failed try is not refused for it.
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
    is_client_retry: bool = False
    is_charged: bool = False

    @property
    def size(self) -> int:
        """Tokens by which the shares of accounts are measured."""
        return self.prompt_tokens + GENERATED_WEIGHT * self.output_tokens

    @property
    def own_tokens(self) -> int:
        """Tokens that no other request shares."""
        shared = sum(part.tokens for part in self.parts[:-1])
        return max(0, self.prompt_tokens - shared)

    @property
    def affinity(self) -> str:
        """Id of the last part that other requests share, or empty."""
        return self.parts[-2].id if len(self.parts) > 1 else ""
