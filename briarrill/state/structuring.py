"""briarrill.state.structuring: builds validated attrs classes from TOML."""

import enum
from typing import Any, TypeVar

import attrs
from cattrs import Converter, transform_error
from cattrs.errors import BaseValidationError, ForbiddenExtraKeysError

from ..errors import SettingsError

__all__ = ('structure',)

_Checked = TypeVar('_Checked')

_SCALARS = frozenset((str, int, float, bool))


def _structure_scalar(raw: Any, cls: type[Any]) -> Any:
    """Convert a TOML scalar, only from its own type or int to float."""
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
    # enumerations of strings use the hook of their base class
    for scalar in _SCALARS:
        converter.register_structure_hook(scalar, _structure_scalar)
    return converter


_CONVERTER = _make_converter()


def _describe_error(exc: BaseException, _cls: type[Any] | None) -> str:
    """Return the message of one wrong key for operators."""
    if isinstance(exc, ForbiddenExtraKeysError):
        unknown = ', '.join(sorted(exc.extra_fields))
        allowed = ', '.join(field.name for field in attrs.fields(exc.cl))
        return f'unknown key {unknown}; allowed: {allowed}'
    if isinstance(exc, KeyError):
        return f'missing key {exc}'
    return str(exc)


def structure(fields: dict[str, Any], cls: type[_Checked]) -> _Checked:
    """Build an instance of an attrs class from TOML tables.

    :raises SettingsError: a key is unknown or missing, or a type or value is
        wrong; lists every wrong key with its path.
    """
    try:
        return _CONVERTER.structure(fields, cls)
    except BaseValidationError as exc:
        problems = transform_error(exc, format_exception=_describe_error)
        raise SettingsError('; '.join(problems)) from exc
