"""Tests of load reports between processes."""

import attrs
import pytest
import trio

from briarrill.coordination import peer_reports, report_sender
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.errors import MalformedMessageError
from briarrill.protocol.load_reports import (
    LoadReport,
    decode_report,
    encode_report,
    short_hash,
)


def _load_exchange(name='a', host='127.0.0.1', port=0, seeds=()):
    return LoadExchange(name, host, port, seeds, lambda report: report)


def _report(sequence, incarnation=1, **online):
    return LoadReport('b', '127.0.0.2', incarnation, sequence, online=online)


def test_reordered_report_is_ignored_after_a_newer_one():
    exchange = _load_exchange()
    exchange.receive_report(_report(2, x=5))
    exchange.receive_report(_report(1, x=9))
    assert exchange.online('x') == 5
    exchange.receive_report(_report(1, incarnation=2))
    assert exchange.online('x') == 0


def test_process_silent_past_the_timeout_is_not_counted(monkeypatch):
    now = 100.0
    monkeypatch.setattr(peer_reports.time, 'monotonic', lambda: now)
    exchange = _load_exchange()
    exchange.receive_report(_report(1, x=5))
    assert exchange.online('x') == 5
    now += peer_reports.PEER_TIMEOUT_S
    assert exchange.online('x') == 0
    assert exchange.live_reports == {}


def test_own_requests_are_counted_and_reported_while_in_flight():
    exchange = _load_exchange()
    exchange.receive_report(_report(1, x=2))
    with exchange.in_flight.counted('x', is_batch=False):
        assert exchange.online('x') == 3
        assert exchange.make_report().online == {'x': 1}
    assert exchange.online('x') == 2
    assert exchange.make_report().online == {}


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'\xff\x00',
        encode_report(attrs.evolve(_report(1), version=99)),
    ],
)
def test_malformed_datagram_is_rejected(raw):
    with pytest.raises(MalformedMessageError):
        decode_report(raw)


async def test_processes_with_one_seed_exchange_reports_both_ways(network):
    port = 21_300
    first = _load_exchange('a', f'{network}.1', port)
    second = _load_exchange('b', f'{network}.2', port, seeds=(f'{network}.1',))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        nursery.start_soon(second.run)
        with trio.fail_after(5):
            while not (first.live_reports and second.live_reports):
                await trio.sleep(0.01)
            with second.in_flight.counted('x', is_batch=True):
                while first.batch('x') != 1:
                    await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def test_new_peer_gets_a_report_before_the_heartbeat(
    network, monkeypatch
):
    """A process that starts must not act before it knows the others' load."""
    monkeypatch.setattr(report_sender, 'HEARTBEAT_INTERVAL_S', 60)
    port = 21_310
    first = _load_exchange('a', f'{network}.3', port)
    second = _load_exchange('b', f'{network}.4', port, seeds=(f'{network}.3',))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        await trio.sleep(0.2)
        nursery.start_soon(second.run)
        with trio.fail_after(5):
            while not second.live_reports:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def test_new_member_gets_a_report_before_the_heartbeat(
    network, monkeypatch
):
    monkeypatch.setattr(report_sender, 'HEARTBEAT_INTERVAL_S', 60)
    port = 21_320
    first = _load_exchange('a', f'{network}.5', port)
    second = _load_exchange('b', f'{network}.6', port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        nursery.start_soon(second.run)
        await trio.sleep(0.2)
        second.update_member('a', f'{network}.5')
        with trio.fail_after(5):
            while not (first.live_reports and second.live_reports):
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


def test_forwarded_report_adds_load_but_not_a_direct_peer():
    exchange = _load_exchange('b')
    exchange.receive_report(
        LoadReport('a', 'host-a', 1, 1, online={'x': 4}), is_direct=False
    )
    assert exchange.online('x') == 4
    assert exchange.make_report().unheard == (short_hash('a'),)
    exchange.receive_report(LoadReport('a', 'host-a', 1, 2))
    assert exchange.make_report().unheard == ()
