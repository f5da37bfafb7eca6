"""The order in which accounts above their share get free throughput.

Fair queueing over the whole fleet: each account has a count of the tokens that
it was served, and the account with the lowest count comes first. Only accounts
that are refused requests compete. The counts of the others rise with the
lowest one, so an account neither saves up throughput that it doesn't ask for,
nor pays later for what it used while nobody else wanted it.
"""

from __future__ import annotations

from collections.abc import Collection


class ServiceOrder:
    """Tokens served to each account, relative to the account served least.

    Attributes
    ----------
    competing : frozenset of str
        Accounts that were refused requests for lack of throughput.
    max_lead : float
        Tokens that are remembered of what an account was served beyond the
        account served least.
    """

    __slots__ = ("_leads", "competing", "max_lead")

    def __init__(self) -> None:
        self._leads: dict[str, float] = {}
        self.competing: frozenset[str] = frozenset()
        self.max_lead = 0.0

    def has_rivals(self, account: str) -> bool:
        """Return whether any other account competes."""
        return len(self.competing) > (account in self.competing)

    def record_served(self, account: str, tokens: float) -> None:
        """Add tokens that an account was served."""
        self._leads[account] = self._leads.get(account, 0.0) + tokens

    def compute_lead(self, account: str) -> float:
        """Return the tokens an account got more than the one served least."""
        return self._leads.get(account, 0.0)

    def update(self, competing: Collection[str]) -> None:
        """Count from the competing account that was served least.

        Parameters
        ----------
        competing : collection of str
            Accounts that were refused requests for lack of throughput.
        """
        self.competing = frozenset(competing)
        if not competing:
            self._leads.clear()
            return
        lowest = min(self.compute_lead(account) for account in competing)
        leads = self._leads
        self._leads = {
            account: min(leads.get(account, 0.0) - lowest, self.max_lead)
            for account in competing
        }
        for account, lead in leads.items():
            if account not in competing and lead > lowest:
                self._leads[account] = min(lead - lowest, self.max_lead)
