"""The page docs/CAPACITY.md."""
