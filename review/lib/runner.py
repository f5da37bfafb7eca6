"""Running of a case, with the exit codes that a case has to give."""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections.abc import Awaitable, Callable

BROKEN = 1
HELD = 0
NOT_RUN = 2
# A case may take 120 s; the rest is for ending its processes.
TIME_LIMIT_S = 108.0


def run(main: Callable[[], Awaitable[int]]) -> None:
    """Run a case and exit; anything unexpected means that it couldn't run."""
    try:
        code = asyncio.run(_limit(main))
    except Exception:
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)


async def _limit(main: Callable[[], Awaitable[int]]) -> int:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await main()
