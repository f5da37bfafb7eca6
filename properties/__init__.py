"""Property tests of the fleet's parts under random faults."""
