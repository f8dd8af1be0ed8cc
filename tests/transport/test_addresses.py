"""Tests of addresses that other writers name."""

import pytest

from briarrill.transport.addresses import is_address


@pytest.mark.parametrize('host', ['127.0.0.1', '10.1.0.35', '255.255.255.255'])
def test_ipv4_address_is_one(host):
    assert is_address(host)


@pytest.mark.parametrize(
    'host',
    ['', 'localhost', '10.1', '::1', '10.1.0.35:80', ' 10.1.0.35', 'a\0b']
    + ['\u00e9' * 70, '\u0661.1.1.1', 'x' * 300],
)
def test_other_text_is_none(host):
    assert not is_address(host)
