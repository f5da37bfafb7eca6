"""Sizes of the collections that are reachable from a process's objects."""

from __future__ import annotations

import asyncio
import inspect
import types
from collections import Counter, deque
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

PACKAGE = "hornbeamyard."
COLLECTIONS = (dict, list, set, frozenset, tuple, deque, bytearray)


def count_entries(roots: Iterable[object]) -> Counter[str]:
    """Return the number of entries of all reachable collections.

    Parameters
    ----------
    roots : iterable of object
        The local variables of all tasks are searched as well.

    Returns
    -------
    Counter of str
        By class and attribute, or function and variable, that hold the
        collection; collections within collections are counted together.
    """
    counts: Counter[str] = Counter()
    seen: set[int] = set()
    found: list[tuple[str, Any]] = [("", root) for root in roots]
    found += _list_local_variables()
    while found:
        path, value = found.pop()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, types.MethodType):
            found.append((path, value.__self__))
        elif isinstance(value, COLLECTIONS):
            counts[path] += len(value)
            found += [(f"{path}[]", entry) for entry in _list_entries(value)]
        elif type(value).__module__.startswith(PACKAGE):
            name = type(value).__qualname__
            found += [
                (f"{name}.{attribute}", content)
                for attribute, content in _list_attributes(value)
            ]
    return counts


def _list_local_variables() -> Iterator[tuple[str, object]]:
    """Yield the variables of the running tasks' functions, with their names.

    They hold what a task keeps between its steps.
    """
    for task in asyncio.all_tasks():
        awaited: Any = task.get_coro()
        while inspect.iscoroutine(awaited):
            if awaited.cr_frame is not None:
                name = awaited.__qualname__
                for variable, content in awaited.cr_frame.f_locals.items():
                    yield f"{name}:{variable}", content
            awaited = awaited.cr_await


def _list_entries(collection: Any) -> list[Any]:
    if isinstance(collection, bytearray):
        return []
    if isinstance(collection, Mapping):
        return [*collection.keys(), *collection.values()]
    return list(collection)


def _list_attributes(value: object) -> Iterator[tuple[str, object]]:
    for owner in type(value).__mro__:
        slots = owner.__dict__.get("__slots__", ())
        for name in (slots,) if isinstance(slots, str) else slots:
            if hasattr(value, name):
                yield name, getattr(value, name)
    yield from getattr(value, "__dict__", {}).items()
