"""Modules of libraries that run only once something of theirs is used.

Some libraries import much more with a module than a process of the fleet
needs of it. A deferred module is in `sys.modules` and has its place in the
file system, so its submodules can be imported, but its own code runs at the
first access to a name that isn't a submodule.
"""

from __future__ import annotations

import importlib
import importlib.util
import sys
from collections.abc import Mapping
from types import ModuleType
from typing import Any

# `uvicorn` imports its command line, and `prometheus_client` servers of its
# own; the fleet uses submodules of both. `python_message` implements messages
# in Python, which protobuf doesn't use where it has an implementation in C.
# uvicorn configures no logging here, and no log file is compressed.
# The values are names that are taken from a submodule, which is imported then,
# instead of running the module's code: uvicorn asks for its own `Config`.
DEFERRED: Mapping[str, Mapping[str, str]] = {
    "uvicorn": {"Config": "uvicorn.config"},
    "prometheus_client": {},
    "google.protobuf.internal.python_message": {},
    "gzip": {},
    "logging.config": {},
}


def defer_modules(
    modules: Mapping[str, Mapping[str, str]] = DEFERRED,
) -> None:
    """Defer modules that aren't imported yet.

    A module that doesn't exist is left to the import that needs it, whose
    error names it.

    Parameters
    ----------
    modules : dict of str to dict, optional
        By name of a module, the submodules by names that they define.
    """
    for name, sources in modules.items():
        if name not in sys.modules:
            _defer(name, sources)


def _defer(name: str, sources: Mapping[str, str]) -> None:
    try:
        spec = importlib.util.find_spec(name)
    except ModuleNotFoundError:
        spec = None
    if spec is None or spec.loader is None:
        return
    module = importlib.util.module_from_spec(spec)
    parent, _, child = name.rpartition(".")

    def load(attribute: str) -> Any:
        source = sources.get(attribute)
        if source is not None:
            return getattr(importlib.import_module(source), attribute)
        return _load_attribute(module, attribute)

    # Python calls this function for names that the module doesn't have
    # (PEP 562).
    vars(module)["__getattr__"] = load
    sys.modules[name] = module
    if parent:
        setattr(importlib.import_module(parent), child, module)


def _load_attribute(module: ModuleType, attribute: str) -> Any:
    """Return a submodule, or run the module's code and return its name."""
    spec = module.__spec__
    assert spec is not None
    assert spec.loader is not None
    if attribute.startswith("__"):
        raise AttributeError(f"{spec.name} has no attribute {attribute!r}")
    if spec.submodule_search_locations is not None:
        full_name = f"{spec.name}.{attribute}"
        if importlib.util.find_spec(full_name) is not None:
            return importlib.import_module(full_name)
    load = vars(module).pop("__getattr__", None)
    try:
        spec.loader.exec_module(module)
    except BaseException:
        # The next access tries again, as after a failed import.
        vars(module)["__getattr__"] = load
        raise
    return getattr(module, attribute)
