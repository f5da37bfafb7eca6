"""Seeds that have failed, with the cause of each.

A seed fixes the injected faults and their times but not the interleaving of
processes, so a failure can be reproduced often but not always.
"""

from __future__ import annotations

REGRESSIONS: dict[int, str] = {
    1: (
        "gRPC kept silent connections for a minute, and a router that had "
        "lost an upstream ignored its renewals"
    ),
    5: (
        "connections that had been closed were kept for reuse; requests on "
        "them got status 500"
    ),
    201: (
        "only the controller with the lowest address founded the cluster, and "
        "only if its own first start was in time"
    ),
    203: "SIGHUP in a process's first second ended it",
    206: "an address that another socket held at the start ended the process",
    5001: (
        "an upstream died between two events of a stream without length and "
        "chunks, which nothing tells from a complete one"
    ),
    6008: (
        "a controller founded the cluster alone, as the others started late, "
        "accepted a version and lost its disk; not fixed"
    ),
}
