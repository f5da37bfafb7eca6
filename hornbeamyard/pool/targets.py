"""Latency targets of the requests that share a pool's engines."""

from __future__ import annotations

from dataclasses import dataclass, field

# Time after which a request counts half as much in the mix.
HALF_LIFE_S = 3.0
# Requests with the shortest targets determine how long the engines' queues
# may get once they make up this part of the prompt tokens.
MIN_WEIGHT_FRACTION = 0.1
# Weight in tokens below which a target is forgotten. Each request weighs at
# least one token.
MIN_WEIGHT = 1e-3


@dataclass(slots=True)
class TargetMix:
    """Targets of recent requests, weighted by the tokens to prefill.

    Engines serve prompts in order of arrival, so a request with a long target
    that is sent to a long queue delays all later ones with shorter targets.
    """

    _weights: dict[float, float] = field(default_factory=dict)
    _updated_at: float = 0.0

    def record(self, target_s: float, tokens: int, now: float) -> None:
        """Add a request.

        Parameters
        ----------
        target_s : float
        tokens : int
            Prompt tokens that the engine has to prefill for it.
        now : float
            Monotonic time in seconds.
        """
        factor = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_S)
        self._updated_at = now
        self._weights = {
            target: weight * factor
            for target, weight in self._weights.items()
            if weight * factor >= MIN_WEIGHT
        }
        weight = self._weights.get(target_s, 0.0) + max(1, tokens)
        self._weights[target_s] = weight

    def find_shortest(self) -> float:
        """Return the shortest target that matters, in seconds.

        Targets of few tokens are passed over, so that a rare request with a
        very short target doesn't leave the engines idle. Infinity without
        requests.
        """
        least = sum(self._weights.values()) * MIN_WEIGHT_FRACTION
        total = 0.0
        for target, weight in sorted(self._weights.items()):
            total += weight
            if total >= least:
                return target
        return float("inf")
