"""Keys of requests."""

import pytest

from briarrill.protocol.load_reports import short_hash
from briarrill.protocol.request_keys import is_request_key, request_key

REQUEST = ('caller', b'POST', b'/path?query', b'body')


def test_key_is_the_same_at_each_process():
    assert request_key(*REQUEST) == 0x8798AE3E570BF618


@pytest.mark.parametrize('position', range(len(REQUEST)))
def test_requests_that_differ_in_one_field_have_other_keys(position):
    changed = list(REQUEST)
    changed[position] = changed[position] + changed[position][-1:]
    assert request_key(*changed) != request_key(*REQUEST)


def test_fields_are_kept_apart():
    moved = ('caller', b'POST', b'/path?queryb', b'ody')
    assert request_key(*moved) != request_key(*REQUEST)


def test_keys_of_requests_are_told_from_hashes_of_parts():
    assert is_request_key(request_key(*REQUEST))
    assert not is_request_key(short_hash('part'))
