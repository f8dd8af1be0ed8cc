"""Keys of calls that were left before their end."""

import time

import pytest

from briarrill.entry.left_calls import LeftCalls
from briarrill.errors import DuplicateError
from briarrill.result_codes import Ran


def test_left_call_is_a_duplicate_until_its_deadline():
    left = LeftCalls()
    left.add(('r', 0), time.monotonic() + 3600)
    with pytest.raises(DuplicateError) as error:
        left.check(('r', 0))
    assert error.value.ran is Ran.UNKNOWN
    left.check(('r', 1))
    left.add(('r', 1), time.monotonic() - 1)
    left.check(('r', 1))


def test_memory_holds_no_expired_calls():
    left = LeftCalls()
    for number in range(100):
        left.add(('r', number), time.monotonic() - 1)
    assert len(left) == 1
