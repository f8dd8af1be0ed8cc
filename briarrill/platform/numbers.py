"""briarrill.platform.numbers: numbers that a configuration may hold."""

from typing import Annotated

import msgspec

__all__ = ('Count', 'Number')

# far above all numbers of a configuration; times of it can be computed with
_MAX_NUMBER = 1_000_000_000_000_000

Number = Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
