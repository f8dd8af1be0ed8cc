"""briarrill.protocol.numbers: ranges of numbers in messages of peers.

Decoders check them. Values that are no number (NaN) are outside each range.
"""

import sys
from typing import Annotated

import msgspec

__all__ = ('AnyNumber', 'Count', 'FiniteNumber', 'NonNegativeNumber')

#: May be infinite, for instance a time without a limit.
AnyNumber = Annotated[float, msgspec.Meta(ge=-sys.float_info.max)]

FiniteNumber = Annotated[
    float, msgspec.Meta(ge=-sys.float_info.max, le=sys.float_info.max)
]

#: Finite as well.
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0, le=sys.float_info.max)]

Count = Annotated[int, msgspec.Meta(ge=0)]
