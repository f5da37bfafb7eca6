"""Controllers outlast any order of tolerated disruptions.

See `controller_orders` for the orders and what is checked of each.
"""

from __future__ import annotations

import pytest

from .controller_orders import (
    check_order,
    draw_order,
    list_orders,
    parse_order,
)

# Orders that have failed, by what is special about them.
FOUND = {
    "lowest_seed_killed_before_founding": "seed=1; 0.28 kill c0 0.5",
    "lowest_seed_late": "seed=1; 0 late c0 2",
    "two_seeds_killed": "seed=1; 0.3 kill c0,c1 7; settled+0 lose #2,#3 1",
    "all_killed_before_founding": "seed=7; 0.316 kill all 0.411",
}
RANDOM_ORDERS = 96
BATCH = 8
GRID_PARTS = 8


@pytest.mark.parametrize("name", FOUND)
def test_found_before(name: str) -> None:
    """Guards against an order that has broken a guarantee before."""
    check_order(parse_order(FOUND[name]))


@pytest.mark.parametrize("part", range(GRID_PARTS))
def test_all_of_depth_one(part: int) -> None:
    """Guards against one disruption at any moment, and two disks later."""
    for number, order in enumerate(list_orders(1)):
        if number % GRID_PARTS == part:
            check_order(order)


@pytest.mark.parametrize("first", range(0, RANDOM_ORDERS, BATCH))
def test_drawn_by_lot(first: int) -> None:
    """Guards against several disruptions that fall together."""
    for seed in range(first, first + BATCH):
        check_order(draw_order(seed))
