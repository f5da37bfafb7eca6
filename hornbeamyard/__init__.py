"""A router fleet that shares model and application capacity fairly.

The packages follow the life span of what they hold: `request`,
`connection`, `version` (of the configuration), `pool` and `process`.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
