"""Connections between processes: streams, calls, HTTP and its limits."""
