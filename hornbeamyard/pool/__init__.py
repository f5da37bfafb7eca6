"""What lives for one pool of upstreams, with the scheduling decisions."""
