"""Tests of the order in which accounts get free throughput."""

from __future__ import annotations

from hornbeamyard.pool.service_order import ServiceOrder


def build_order() -> ServiceOrder:
    """Return an order that remembers a lead of 1,000 tokens."""
    order = ServiceOrder()
    order.max_lead = 1000.0
    return order


class TestServiceOrder:
    """Only accounts that compete are compared."""

    def test_least_served_account_comes_first(self) -> None:
        """Guards against an order that forgets what was served before."""
        order = build_order()
        order.update({"a", "b"})
        order.record_served("a", 300)
        order.record_served("b", 100)
        order.update({"a", "b"})
        order.record_served("b", 50)
        order.update({"a", "b"})
        assert order.compute_lead("a") == 150
        assert order.compute_lead("b") == 0

    def test_account_that_was_alone_does_not_pay_later(self) -> None:
        """Guards against an account that is refused for earlier free use."""
        order = build_order()
        for _ in range(4):
            order.record_served("a", 500)
            order.update({"a"})
        assert not order.has_rivals("a")
        order.update({"a", "b"})
        assert order.compute_lead("a") == 0
        assert order.has_rivals("a")

    def test_account_saves_up_nothing(self) -> None:
        """Guards against a burst of an account that asked for nothing."""
        order = build_order()
        order.update({"a", "b"})
        for _ in range(3):
            order.record_served("a", 200)
            order.record_served("b", 200)
            order.update({"a", "b"})
        order.update({"a", "b", "late"})
        leads = [order.compute_lead(name) for name in ("a", "b", "late")]
        assert leads == [0, 0, 0]

    def test_lead_is_bounded(self) -> None:
        """Guards against an account that is refused long after its burst."""
        order = build_order()
        order.update({"a", "b"})
        order.record_served("a", 50_000)
        order.update({"a", "b"})
        assert order.compute_lead("a") == order.max_lead

    def test_account_that_competes_again_soon(self) -> None:
        """Guards against a lead that is lost by a moment without refusals."""
        order = build_order()
        order.update({"a", "b"})
        order.record_served("a", 600)
        order.update({"b"})
        order.update({"a", "b"})
        assert order.compute_lead("a") == 600
