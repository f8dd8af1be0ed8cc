"""briarrill.state.structuring: checked attrs classes from TOML tables."""

import enum
from typing import Any, TypeVar

from cattrs import Converter, transform_error
from cattrs.errors import BaseValidationError

from ..errors import SettingsError

__all__ = ('structure',)

_Checked = TypeVar('_Checked')

_SCALARS = frozenset((str, int, float, bool))


def _structure_exactly(raw: Any, cls: type[Any]) -> Any:
    """Take a TOML scalar only in its own type; whole numbers are floats."""
    if cls is float and raw.__class__ is int:
        return float(raw)
    if raw.__class__ is not cls:
        raise TypeError(f'must be {cls.__name__}, not {raw!r}')
    return raw


def _structure_enum(raw: Any, cls: type[enum.Enum]) -> enum.Enum:
    allowed = [member.value for member in cls]
    if raw not in allowed:
        raise TypeError(f'must be one of {allowed}, not {raw!r}')
    return cls(raw)


def _make_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True)
    converter.register_structure_hook_func(
        lambda cls: cls in _SCALARS, _structure_exactly
    )
    converter.register_structure_hook_func(
        lambda cls: isinstance(cls, type) and issubclass(cls, enum.Enum),
        _structure_enum,
    )
    return converter


_CONVERTER = _make_converter()


def _describe(exc: BaseException, _cls: type[Any] | None) -> str:
    return str(exc)


def structure(fields: dict[str, Any], cls: type[_Checked]) -> _Checked:
    """Build an instance; unknown keys and wrong types are errors.

    :raises SettingsError: lists every wrong key with its place.
    """
    try:
        return _CONVERTER.structure(fields, cls)
    except BaseValidationError as exc:
        places = transform_error(exc, format_exception=_describe)
        raise SettingsError('; '.join(places)) from exc
