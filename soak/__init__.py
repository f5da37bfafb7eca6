"""A randomized soak of real processes under faults from outside them."""
