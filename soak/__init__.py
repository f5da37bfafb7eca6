"""A randomized soak test of real processes under injected faults."""
