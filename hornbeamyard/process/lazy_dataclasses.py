"""Dataclasses whose methods are generated when the first object is made.

The standard decorator generates and compiles source code for each class when
its module is imported, 0.2 to 0.5 ms of processor time each, and most of the
classes of a module aren't used before a process is ready. This one stores the
fields in slots and leaves the rest to the first call of the class. For type
checkers it is the standard decorator.
"""

from __future__ import annotations

import dataclasses
import inspect
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

# Attributes that the standard decorator generates.
_GENERATED = (
    "__dataclass_fields__",
    "__dataclass_params__",
    "__delattr__",
    "__eq__",
    "__ge__",
    "__gt__",
    "__hash__",
    "__init__",
    "__le__",
    "__lt__",
    "__match_args__",
    "__repr__",
    "__setattr__",
)
# Attribute of a class whose methods aren't generated yet.
_PENDING = "_generate_dataclass"
# The standard decorator must not process a class twice.
_lock = threading.Lock()


def _decorate(
    *, slots: bool = True, frozen: bool = False, **options: bool
) -> Callable[[type[Any]], type[Any]]:
    """Return a decorator with the options of the standard one.

    Parameters
    ----------
    slots : bool
        Must be true.
    frozen : bool, optional
    **options : bool
        Further options of the standard decorator.

    Raises
    ------
    ValueError
        If `slots` is false.
    """
    if not slots:
        raise ValueError("a lazy dataclass has slots")

    def decorate(template: type[Any]) -> type[Any]:
        return _build_class(template, frozen, options)

    return decorate


def _build_class(
    template: type[Any], frozen: bool, options: dict[str, bool]
) -> type[Any]:
    """Return a class like the template, with slots instead of defaults."""
    names = tuple(inspect.get_annotations(template))
    content = {
        name: value
        for name, value in vars(template).items()
        if name not in names and name not in ("__dict__", "__weakref__")
    }
    content["__slots__"] = names
    if frozen:
        # Objects are copied and pickled by their fields, since the attributes
        # of frozen ones can't be set.
        content.setdefault("__getstate__", _get_state)
        content.setdefault("__setstate__", _set_state)

    def initialize(self: Any, *arguments: Any, **named: Any) -> None:
        # Not so after a generation by a subclass or another thread.
        if built.__init__ is initialize:
            generate()
        built.__init__(self, *arguments, **named)

    def generate() -> None:
        # The fields of a base class come first.
        for base in built.__mro__[1:]:
            generate_base = vars(base).get(_PENDING)
            if generate_base is not None:
                generate_base()
        with _lock:
            if _PENDING in vars(built):
                _generate_methods(built, template, frozen, options)
                delattr(built, _PENDING)

    content[_PENDING] = staticmethod(generate)
    content["__init__"] = initialize
    metaclass: Any = type(template)
    built: type[Any] = metaclass(
        template.__name__, template.__bases__, content
    )
    built.__qualname__ = template.__qualname__
    return built


def _generate_methods(
    built: type[Any],
    template: type[Any],
    frozen: bool,
    options: dict[str, bool],
) -> None:
    # The standard decorator would look for the signature, at some cost.
    template.__doc__ = template.__doc__ or template.__name__
    before = dict(vars(template))
    dataclasses.dataclass(frozen=frozen, **options)(template)
    for name in _GENERATED:
        value = vars(template).get(name, before)
        if value is not before.get(name, before):
            setattr(built, name, value)


def _get_state(self: Any) -> list[Any]:
    return [getattr(self, name) for name in self.__slots__]


def _set_state(self: Any, state: list[Any]) -> None:
    for name, value in zip(self.__slots__, state, strict=True):
        object.__setattr__(self, name, value)


if TYPE_CHECKING:
    from dataclasses import dataclass as dataclass
else:
    dataclass = _decorate
