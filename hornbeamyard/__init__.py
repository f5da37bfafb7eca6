"""A router fleet that shares model and application capacity fairly.

The packages are divided by the lifetime of what they handle: a request, a
connection, a version of the configuration, a pool or a process.
"""

import os

# The gRPC library logs every failed handshake of a process that keeps
# retrying. The fleet's processes log each reason themselves, only once.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

__version__ = "0.1.0"

__all__ = ["__version__"]
