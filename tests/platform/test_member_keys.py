"""Registrations of processes that another writer left."""

import pytest

from briarrill.coordination.load_exchange import LoadExchange
from briarrill.platform.member_keys import MemberKeys
from briarrill.state.keys import member_key

HOST = '10.1.0.3'


@pytest.fixture
def load():
    return LoadExchange('p1', '10.1.0.2', 7400, (), lambda report: report)


@pytest.mark.parametrize(
    'body', [b'', b'\xff', b'machine.example', b'10.1.0.3:80', b'9' * 400]
)
def test_unreadable_registration_of_a_process_removes_it(body, load):
    keys = MemberKeys(load)
    keys.apply_key(member_key('p2'), HOST.encode())
    keys.apply_key(member_key('p3'), b'10.1.0.4')
    assert load._report_hosts() == {HOST, '10.1.0.4'}
    keys.apply_key(member_key('p2'), body)
    assert load._report_hosts() == {'10.1.0.4'}
