"""A router fleet that shares model and application capacity fairly.

The packages follow the life span of what they hold: `request`,
`connection`, `version` (of the configuration), `pool` and `process`.
"""

import os

# The gRPC library logs every failed handshake of a process that keeps
# retrying. The fleet's processes log each reason themselves, only once.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

__version__ = "0.1.0"

__all__ = ["__version__"]
