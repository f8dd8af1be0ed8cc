"""Tests of the owners of limits, and of questions to them."""

import contextlib
import types

import attrs
import pytest
import trio

from briarrill.coordination import grants, peer_reports, request_limits
from briarrill.coordination.limit_sharing import (
    NO_REPLY_BLOCK_S,
    choose_owner,
    heard_share,
)
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from briarrill.protocol.load_reports import LoadReport
from briarrill.transport.http_messages import ResponseHead
from tests.serving import free_port

RATE_PER_S = 2.0
HALF = 0.5


def _report(name, *, runs_batch=False, is_leaving=False):
    return LoadReport(
        name, '', 1, 1, runs_batch=runs_batch, is_leaving=is_leaving
    )


def _owner(process, reports, *, is_preferred=False):
    return choose_owner('i/1', process, reports, is_preferred=is_preferred)


def test_all_processes_choose_the_same_batch_process():
    batch = [_report(f'b{number}', runs_batch=True) for number in range(5)]
    entries = [_report(f'e{number}') for number in range(9)]
    owners = {
        _owner(one.process, [*batch, *entries], is_preferred=one.runs_batch)
        for one in (*batch, *entries)
    }
    assert len(owners) == 1
    assert owners.pop().startswith('b')


def test_leaving_owner_is_replaced():
    batch = [_report(f'b{number}', runs_batch=True) for number in range(3)]
    first = _owner('e', batch)
    rest = [one for one in batch if one.process != first]
    leaving = _report(first, runs_batch=True, is_leaving=True)
    second = _owner('e', [leaving, *rest])
    assert second != first
    assert _owner(first, rest) == second


def test_entries_decide_where_no_batch_process_is_heard():
    assert _owner('e1', []) == 'e1'
    peers = [_report('e1'), _report('e2')]
    assert _owner('e1', peers[1:]) == _owner('e2', peers[:1])


def test_share_shrinks_with_the_processes_that_are_not_heard():
    members = dict.fromkeys('bcd', 'host')
    assert heard_share({}, {}) == 1
    assert heard_share(members, dict.fromkeys('bcd')) == 1
    assert heard_share(members, {'b': None}) == HALF
    assert heard_share(members, {}) == HALF / 2


@pytest.fixture
def virtual_time(monkeypatch):
    """Have limits and reports go by the clock of trio."""
    clock = types.SimpleNamespace(monotonic=trio.current_time)
    for module in (grants, peer_reports, request_limits):
        monkeypatch.setattr(module, 'time', clock)


@contextlib.asynccontextmanager
async def two_processes(network):
    """Yield an entry and a batch process that hear each other."""
    port = free_port()
    hosts = f'{network}.1', f'{network}.2'
    entry = LoadExchange('e', hosts[0], port, hosts, lambda report: report)
    batch = LoadExchange(
        'b',
        hosts[1],
        port,
        hosts,
        lambda report: attrs.evolve(report, runs_batch=True),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.run)
        nursery.start_soon(batch.run)
        with trio.fail_after(10):
            while not (entry.live_reports and batch.live_reports):
                await trio.sleep(0.01)
            yield entry.limits, batch.limits
        nursery.cancel_scope.cancel()


async def test_one_process_decides_for_both(
    network, autojump_clock, virtual_time
):
    async with two_processes(network) as (entry, batch):
        entry.limits.record_response('i/1', RATE_PER_S)
        batch.limits.record_response('i/1', RATE_PER_S)
        first = await entry.acquire('i/1', max_wait_s=0)
        second = await batch.acquire('i/1', max_wait_s=0)
        third = await entry.acquire('i/1', max_wait_s=0)
    assert first.is_granted
    assert not second.is_granted
    assert not third.is_granted
    assert entry.limits.blocked_s('i/1') > 0


async def test_request_waits_for_its_turn(
    network, autojump_clock, virtual_time
):
    async with two_processes(network) as (entry, _):
        entry.limits.record_response('i/1', 20.0)
        await entry.acquire('i/1', max_wait_s=0)
        grant = await entry.acquire('i/1', max_wait_s=1)
    assert grant.is_granted
    assert 0 < grant.delay_s <= 1 / 20.0


async def test_upstream_without_a_limit_needs_no_permit(
    network, autojump_clock, virtual_time
):
    async with two_processes(network) as (entry, batch):
        grants = [await entry.acquire('i/1', max_wait_s=0) for _ in range(50)]
    assert all(grant.is_granted for grant in grants)
    assert not batch.book.granted()


async def test_limit_that_one_process_learned_reaches_the_other(
    network, autojump_clock, virtual_time
):
    async with two_processes(network) as (entry, batch):
        entry.limits.record_response('i/1', RATE_PER_S)
        while batch.limits.rate_per_s('i/1') is None:
            await trio.sleep(0.01)
        batch.limits.record_response('i/1', None)
        while entry.limits.rate_per_s('i/1') is not None:
            await trio.sleep(0.01)


async def test_silent_owner_refuses_for_a_moment(
    network, autojump_clock, virtual_time
):
    load = LoadExchange('e', f'{network}.1', 1, (), lambda report: report)
    load.receive_report(LoadReport('b', f'{network}.2', 1, 1, runs_batch=True))
    load.limits.limits.record_response('i/1', RATE_PER_S)
    grant = await load.limits.acquire('i/1', max_wait_s=0)
    assert not grant.is_granted
    assert 0 < load.limits.limits.blocked_s('i/1') <= NO_REPLY_BLOCK_S


async def test_entry_that_hears_nobody_keeps_to_its_share(
    network, autojump_clock, virtual_time
):
    load = LoadExchange('e', f'{network}.1', 1, (), lambda report: report)
    for name in 'bcd':
        load.update_member(name, f'{network}.9')
    load.limits.limits.record_response('i/1', RATE_PER_S)
    assert (await load.limits.acquire('i/1', max_wait_s=0)).is_granted
    refused = await load.limits.acquire('i/1', max_wait_s=0)
    assert refused.delay_s == pytest.approx(4 / RATE_PER_S)


@pytest.mark.parametrize(
    'text', [b'many', b'', b'-1', b'nan', b'inf', b'1e999', b'2,5', b'\xff']
)
def test_limit_that_cannot_be_read_changes_nothing(text):
    load = LoadExchange('e', '127.0.0.1', 1, (), lambda report: report)
    unreadable = ResponseHead(200, ((b'server-limit', text),))
    protocol = PlatformRelayProtocol()
    load.limits.record_response(protocol, 'i/1', unreadable)
    assert load.limits.limits.rate_per_s('i/1') is None
    readable = ResponseHead(200, ((b'server-limit', b'2.0'),))
    load.limits.record_response(protocol, 'i/1', readable)
    load.limits.record_response(protocol, 'i/1', unreadable)
    assert load.limits.limits.rate_per_s('i/1') == RATE_PER_S
    load.limits.record_response(protocol, 'i/1', ResponseHead(200, ()))
    assert load.limits.limits.rate_per_s('i/1') is None


def test_halves_that_never_knew_each_other_share_a_limit():
    """The store was away from the start, so that no members are known."""
    hosts = tuple(f'10.1.0.{number}' for number in range(4))
    shares = []
    for half in (hosts[:2], hosts[2:]):
        load = LoadExchange(half[0], half[0], 1, hosts, lambda report: report)
        load.receive_report(LoadReport(half[1], half[1], 1, 1))
        shares.append(load.limits.share())
    assert sum(shares) <= 1


def test_process_that_knows_the_members_ignores_seeds_that_left():
    load = LoadExchange('e', '10.1.0.1', 1, ('10.1.0.9',), lambda _: None)
    load.update_member('e', '10.1.0.1')
    assert load.limits.share() == 1
