"""Property-based tests over generated cases."""
