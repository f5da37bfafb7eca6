"""Measurements; each prints one JSON object as its last line."""
