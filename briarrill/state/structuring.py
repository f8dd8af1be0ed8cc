"""briarrill.state.structuring: checked attrs classes from TOML tables."""

import enum
from typing import Any, TypeVar

import attrs
from cattrs import Converter, transform_error
from cattrs.errors import BaseValidationError, ForbiddenExtraKeysError

from ..errors import SettingsError

__all__ = ('structure',)

_Checked = TypeVar('_Checked')

_SCALARS = frozenset((str, int, float, bool))


def _structure_exactly(raw: Any, cls: type[Any]) -> Any:
    """Take a TOML scalar only in its own type; whole numbers are floats."""
    if issubclass(cls, enum.Enum):
        return _structure_enum(raw, cls)
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
    # enumerations of texts find the hook of their base
    for scalar in _SCALARS:
        converter.register_structure_hook(scalar, _structure_exactly)
    return converter


_CONVERTER = _make_converter()


def _describe(exc: BaseException, _cls: type[Any] | None) -> str:
    if isinstance(exc, ForbiddenExtraKeysError):
        unknown = ', '.join(sorted(exc.extra_fields))
        allowed = ', '.join(field.name for field in attrs.fields(exc.cl))
        return f'unknown key {unknown}; allowed: {allowed}'
    if isinstance(exc, KeyError):
        return f'missing key {exc}'
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
