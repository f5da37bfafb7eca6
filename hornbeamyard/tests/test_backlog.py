"""Tests of the order, limits and deadlines of a router's queue."""

from __future__ import annotations

import pytest
from result import Err

from hornbeamyard.pool.backlog import Backlog, QueueBounds, Ticket


class TestBounds:
    """A queue that is full refuses at once."""

    @pytest.mark.requirement("R20")
    @pytest.mark.parametrize(
        ("bounds", "size", "bound"),
        [
            (QueueBounds(requests=2, size=100), 1, "requests"),
            (QueueBounds(requests=9, size=10), 5, "size in bytes"),
        ],
    )
    def test_refuses_beyond_bound(
        self, bounds: QueueBounds, size: int, bound: str
    ) -> None:
        """Guards against queues that grow without limit."""
        backlog = Backlog(bounds)
        for _ in range(2):
            assert backlog.push(Ticket("hotel", size=size)).is_ok()
        refused = backlog.push(Ticket("hotel", size=size))
        assert isinstance(refused, Err)
        assert refused.err_value.bound == bound
        assert backlog.push(Ticket("museum", size=size)).is_ok()

    def test_readmits_retried_request(self) -> None:
        """Guards against the loss of an admitted request on its retry."""
        backlog = Backlog(QueueBounds(requests=1))
        backlog.push(Ticket("hotel"))
        retried = Ticket("hotel")
        assert backlog.push(retried, front=True).is_ok()
        assert backlog.pop("hotel") is retried


class TestOrder:
    """Priority first, then order of arrival."""

    @pytest.mark.requirement("R18")
    def test_pops_priority_first(self) -> None:
        """Guards against priority requests that wait behind others."""
        backlog = Backlog(QueueBounds())
        tickets = [
            Ticket("hotel"),
            Ticket("hotel", priority=True),
            Ticket("hotel"),
        ]
        for ticket in tickets:
            backlog.push(ticket)
        popped = [backlog.pop("hotel") for _ in tickets]
        assert popped == [tickets[1], tickets[0], tickets[2]]
        assert backlog.list_accounts() == []

    @pytest.mark.requirement("R20")
    def test_expires_by_deadline(self) -> None:
        """Guards against requests that wait beyond their deadline."""
        backlog = Backlog(QueueBounds())
        late = Ticket("hotel", start_by=1.0)
        backlog.push(late)
        backlog.push(Ticket("hotel", start_by=2.0))
        assert backlog.expire(1.0) == [late]
        assert backlog.count_waiting("hotel") == 1
        assert not backlog.remove(late)
