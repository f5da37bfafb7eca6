"""Benchmarks; each program prints one JSON object as its last line."""
