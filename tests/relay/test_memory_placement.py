"""Tests of placement while the memory of upstreams is short."""

import random

import attrs
import pytest

from briarrill.coordination.capacity.work import UpstreamCapacity
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.errors import UpstreamBusyError
from briarrill.protocol.load_probes import ProbeReply, decode_probe, is_probe
from briarrill.protocol.load_reports import LoadReport, decode_report
from briarrill.relay.memory_check import MemoryCheck
from briarrill.relay.placer import Placer
from briarrill.relay.upstream_owners import UpstreamOwners
from briarrill.state.keys import ROOT_PREFIX
from standins.platform_engine import (
    StandinEngine,
    reject_unexecuted,
    respond_with,
)
from tests.relay.front_end_setup import NON_IDEMPOTENT, run_front_end

UPSTREAM = RegisteredUpstream('i-1', 'llm', ('127.0.0.1', 1), 'a', 8)
CAPACITY = UpstreamCapacity(8, 12_600)


class _Owner:
    """Records what an upstream's owner is sent, and replies."""

    def __init__(self, load):
        self.load = load
        self.reported = []
        self.replies = []

    def send(self, raw, host):
        if not is_probe(raw):
            self.reported.append(decode_report(raw).tokens)
            return
        probe = decode_probe(raw)
        online_tokens, batch_tokens = self.replies.pop(0)
        reply = ProbeReply(
            probe.number, 'i-1', 2, 0, online_tokens, batch_tokens
        )
        self.load.messages.prober.receive(reply, host)


@pytest.fixture
def placer():
    table = UpstreamTable(lambda: True)
    table.register(UPSTREAM)
    load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
    load.knowledge.capacities = lambda: {'llm': CAPACITY}
    report = LoadReport('b', 'host-b', 1, 1, connected=(ROOT_PREFIX,))
    load.receive_report(attrs.evolve(report, runs_batch=True))
    return Placer(load, UpstreamOwners(table, load), random.Random(1))


@pytest.fixture
def check(placer):
    return MemoryCheck(placer.load, placer.owners)


@pytest.fixture
def owner(placer):
    owner = _Owner(placer.load)
    placer.load._send = owner.send
    placer.load.messages.prober.send = owner.send
    return owner


async def test_owner_knows_of_a_request_before_it_agrees(placer, check, owner):
    owner.replies = [(12_400, 0)]
    with placer.placed(UPSTREAM, 6200):
        await check.confirm(UPSTREAM)
    assert owner.reported == [{'i-1': 6200}]


async def test_request_goes_elsewhere_if_the_owner_has_no_memory(
    placer, check, owner
):
    owner.replies = [(18_600, 0)]
    with pytest.raises(UpstreamBusyError), placer.placed(UPSTREAM, 6200):
        await check.confirm(UPSTREAM)
    assert placer.load.in_flight.tokens == {}


async def test_request_waits_until_items_have_yielded(placer, check, owner):
    owner.replies = [(6200, 7000), (6200, 3000)]
    with placer.placed(UPSTREAM, 6200):
        await check.confirm(UPSTREAM)
    assert not owner.replies


async def test_reports_decide_if_the_owner_is_silent(placer, check, owner):
    placer.load.messages.prober.send = lambda raw, host: None
    peer = LoadReport('e', 'host-e', 1, 1, tokens={'i-1': 12_400})
    with placer.placed(UPSTREAM, 6200):
        await check.confirm(UPSTREAM)
        placer.load.receive_report(peer)
        with pytest.raises(UpstreamBusyError):
            await check.confirm(UPSTREAM)


async def test_nothing_is_asked_without_a_configured_capacity(
    placer, check, owner
):
    placer.load.knowledge.capacities = dict
    with placer.placed(UPSTREAM, 6200):
        await check.confirm(UPSTREAM)
        assert placer.load.make_report().tokens == {}
    assert not owner.reported


async def test_nothing_is_asked_while_slots_bind_before_memory(
    placer, check, owner
):
    with placer.placed(UPSTREAM, 600):
        await check.confirm(UPSTREAM)
    assert not owner.reported


# guards against sound requests that are refused for the output that they may
# have at most
@pytest.mark.parametrize('online_tokens', [0, 6000])
@pytest.mark.parametrize('count', ['12000,600', '12601,0', '350,72000'])
async def test_upstream_decides_whether_a_request_is_too_large(
    count, online_tokens
):
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([NON_IDEMPOTENT], engine) as setup:
        setup.load.knowledge.capacities = lambda: {'llm': CAPACITY}
        peer = LoadReport('e', 'host-e', 1, 1, tokens={'i-0': online_tokens})
        setup.load.receive_report(attrs.evolve(peer, online={'i-0': 1}))
        status, _, _ = await setup.send_request(
            NON_IDEMPOTENT.prefix, token_count=count
        )
        is_larger = count != '12000,600'
        assert status == (200 if is_larger or not online_tokens else 503)
    assert len(engine.requests) == (status == 200)


async def test_request_that_upstreams_refuse_for_its_size_has_not_run():
    engines = [StandinEngine(reject_unexecuted()) for _ in range(2)]
    async with run_front_end([NON_IDEMPOTENT], *engines) as setup:
        setup.load.knowledge.capacities = lambda: {'llm': CAPACITY}
        status, headers, _ = await setup.send_request(
            NON_IDEMPOTENT.prefix, token_count='350,72000'
        )
    assert status == 503
    assert b'retry-after' in headers
    assert [len(engine.requests) for engine in engines] == [1, 1]


async def test_request_that_may_need_all_memory_counts_for_what_is_free(
    placer, check, owner
):
    """Another request does not take it for more than the memory."""
    peer = LoadReport('e', 'host-e', 1, 1, tokens={'i-1': 5000})
    placer.load.receive_report(attrs.evolve(peer, online={'i-1': 1}))
    owner.replies = [(12_600, 0)]
    with placer.placed(UPSTREAM, 72_350):
        await check.confirm(UPSTREAM)
        assert placer.load.make_report().tokens == {'i-1': 7600}


async def test_request_waits_for_memory_or_is_refused_unrun():
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([NON_IDEMPOTENT], engine) as setup:
        setup.load.knowledge.capacities = lambda: {'llm': CAPACITY}
        peer = LoadReport('e', 'host-e', 1, 1, tokens={'i-0': 12_000})
        setup.load.receive_report(attrs.evolve(peer, online={'i-0': 1}))
        status, headers, _ = await setup.send_request(
            NON_IDEMPOTENT.prefix, token_count='6000,200'
        )
        assert status == 503
        assert b'retry-after' in headers
        assert not engine.requests
        setup.load.receive_report(attrs.evolve(peer, sequence=2, tokens={}))
        status, _, _ = await setup.send_request(
            NON_IDEMPOTENT.prefix, token_count='6000,200'
        )
    assert status == 200
