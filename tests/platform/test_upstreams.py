"""Registrations of upstreams that another writer left."""

import json

import pytest

from briarrill.coordination.upstream_table import UpstreamTable
from briarrill.platform.upstreams import Registrations
from tests.odd_bodies import NESTED_JSON, UNREADABLE_JSON, add_field

KEY = 'servers/i-1'

SOUND = {
    'service': 'llm',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'born': 1_700_000_000_000,
}


@pytest.fixture
def table():
    return UpstreamTable(lambda: True)


def _without(name):
    return {field: text for field, text in SOUND.items() if field != name}


def _with(name, raw):
    """Return the sound registration with another value of a field."""
    return pytest.param(
        add_field(_without(name), name, raw), id=f'{name}-{raw[:24]!r}'
    )


def _address(text):
    return _with('address', json.dumps(text).encode())


ODD_BODIES = [
    *UNREADABLE_JSON,
    _with('slots', b'0'),
    _with('slots', b'-1'),
    _with('slots', b'4.5'),
    _with('slots', b'1e400'),
    _with('slots', b'"4"'),
    _with('slots', b'null'),
    _with('slots', b'9' * 25),
    _with('slots', b'9' * 400),
    _with('slots', b'9' * 5000),
    _with('born', b'-1'),
    _with('born', b'9' * 25),
    _with('born', b'9' * 400),
    _address('127.0.0.1:0'),
    _address('127.0.0.1:-1'),
    _address('127.0.0.1:65536'),
    _address('127.0.0.1:' + '9' * 5000),
    _address('127.0.0.1:8_0'),
    _address('127.0.0.1: 80'),
    _address('127.0.0.1:+80'),
    _address('127.0.0.1:\u0668\u0660'),
    _address('127.0.0.1:'),
    _address('127.0.0.1'),
    _address('0.0.0.0:80'),
    _address('255.255.255.255:80'),
    _address('224.0.0.1:80'),
    _address('::1:80'),
    _address('host:80'),
    _with('version', json.dumps('v' * 100_000).encode()),
    _with('service', json.dumps('s' * 100_000).encode()),
    _with('zone', json.dumps('z' * 100_000).encode()),
    _with('state', b'"gone"'),
    _with('version', b'7'),
    _with('extra', NESTED_JSON),
]

SOUND_BODIES = [
    json.dumps(SOUND).encode(),
    json.dumps(dict(reversed(SOUND.items())), indent=4).encode(),
    json.dumps({**SOUND, 'cold_left_ms': 1e9, 'call_seq': 10**30}).encode(),
    json.dumps(SOUND).replace('ready', r'\u0072eady').encode(),
    json.dumps(_without('version')).encode(),
    json.dumps(_without('born')).encode(),
    json.dumps({**SOUND, 'version': '\u00fc 1\n'}).encode(),
    json.dumps({**SOUND, 'zone': ''}).encode(),
    json.dumps({**SOUND, 'slots': 1024}).encode(),
    add_field(SOUND, 'extra', b'[' * 200 + b']' * 200),
    add_field({**SOUND, 'slots': 8}, 'slots', b'4'),
]


@pytest.mark.parametrize('body', ODD_BODIES)
def test_odd_registration_names_no_upstream(body, table):
    Registrations(table).apply_key(KEY, body)
    assert not table.registered_upstreams


@pytest.mark.parametrize('body', ODD_BODIES)
def test_odd_registration_in_place_of_a_sound_one_removes_it(body, table):
    registrations = Registrations(table)
    registrations.apply_key(KEY, SOUND_BODIES[0])
    registrations.apply_key('servers/i-2', SOUND_BODIES[0])
    registrations.apply_key(KEY, body)
    assert [one.upstream_id for one in table.registered_upstreams] == ['i-2']


@pytest.mark.parametrize('body', SOUND_BODIES)
def test_sound_registration_of_unusual_form_names_its_upstream(body, table):
    Registrations(table).apply_key(KEY, body)
    (upstream,) = table.registered_upstreams
    assert upstream.address == ('127.0.0.1', 80)
    assert upstream.slots in {4, 1024}


@pytest.mark.parametrize(
    'upstream_id', ['', 'i' * 201, 'i\n', 'i\0', 'i-\u20ac', ' ']
)
def test_registration_under_an_odd_key_names_no_upstream(upstream_id, table):
    Registrations(table).apply_key(f'servers/{upstream_id}', SOUND_BODIES[0])
    assert not table.registered_upstreams
