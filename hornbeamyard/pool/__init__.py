"""State and scheduling of pools of upstreams."""
