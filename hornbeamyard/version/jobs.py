"""A queue of jobs that run one at a time in a dedicated task."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar, TypeVarTuple

import anyio

T = TypeVar("T")
Ts = TypeVarTuple("Ts")


class _Job(Generic[T]):
    __slots__ = ("done", "result", "work")

    def __init__(self, work: Callable[[], Awaitable[T]]) -> None:
        self.work = work
        self.done = anyio.Event()
        self.result: T | None = None


class JobQueue:
    """Runs jobs one at a time, in the order in which they were added.

    Cancelling a caller doesn't cancel its job, so that a disk write always
    finishes before the next one starts. A job must not raise: an exception
    ends `run`.
    """

    __slots__ = ("_jobs", "_wake")

    def __init__(self) -> None:
        self._jobs: deque[_Job[object]] = deque()
        self._wake = anyio.Event()

    async def run(self) -> None:
        """Run jobs until cancelled."""
        while True:
            while self._jobs:
                job = self._jobs.popleft()
                job.result = await job.work()
                job.done.set()
            await self._wake.wait()
            self._wake = anyio.Event()

    def put(self, work: Callable[[], Awaitable[object]]) -> None:
        """Add a job without waiting for it."""
        self._jobs.append(_Job(work))
        self._wake.set()

    async def execute(
        self, work: Callable[[*Ts], Awaitable[T]], *arguments: *Ts
    ) -> T:
        """Add a job, wait for it and return its result."""
        job: _Job[T] = _Job(lambda: work(*arguments))
        self._jobs.append(job)  # type: ignore[arg-type]
        self._wake.set()
        await job.done.wait()
        return job.result  # type: ignore[return-value]
