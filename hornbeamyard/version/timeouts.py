"""Timeouts of the controllers' log, derived from the time for a repair."""

from __future__ import annotations

from dataclasses import dataclass

# Bounds of the election timeout, unless a repair leaves less time. A member
# that has heard from a leader within the minimum refuses to vote, so that
# where leases are relied on, no leader is elected while another one's holds.
MIN_ELECTION_TIMEOUT_S = 2.5
MAX_ELECTION_TIMEOUT_S = 4.0
# A member that hasn't replied for this long is replaced, if another controller
# is available.
MEMBER_TIMEOUT_S = 6.0
# Fractions of the time for a repair. When the leader is lost for good, its
# replacement follows an election; the rest is for the votes and for the steps
# of the change of members.
MIN_ELECTION_FRACTION = 0.45
MAX_ELECTION_FRACTION = 0.6
MEMBER_FRACTION = 0.5
# Two intervals between the leader's heartbeats, below which every member would
# campaign all the time.
SHORTEST_TIMEOUT_S = 1.0


@dataclass(slots=True, frozen=True)
class Timeouts:
    """Times after which a member acts on another one's silence.

    Attributes
    ----------
    min_election_s, max_election_s : float
        Bounds of the time without a leader after which a member campaigns.
    member_s : float
        Time without a reply after which a member is replaced.
    """

    min_election_s: float = MIN_ELECTION_TIMEOUT_S
    max_election_s: float = MAX_ELECTION_TIMEOUT_S
    member_s: float = MEMBER_TIMEOUT_S


def derive_timeouts(catch_up_s: float) -> Timeouts:
    """Return the timeouts of a fleet that repairs its log automatically.

    Parameters
    ----------
    catch_up_s : float
        Time after its start within which a controller that replaces another
        one has to be a voter, in seconds.
    """
    catch_up_s = max(catch_up_s, SHORTEST_TIMEOUT_S / MIN_ELECTION_FRACTION)
    return Timeouts(
        min(MIN_ELECTION_TIMEOUT_S, MIN_ELECTION_FRACTION * catch_up_s),
        min(MAX_ELECTION_TIMEOUT_S, MAX_ELECTION_FRACTION * catch_up_s),
        min(MEMBER_TIMEOUT_S, MEMBER_FRACTION * catch_up_s),
    )
