"""Tests of telling the end of an upstream from that of one response."""

import contextlib
import socket

import attrs
import pytest
import trio

from briarrill.coordination import upstream_ends
from briarrill.coordination.prompt_crashes import PromptQuarantine
from briarrill.coordination.upstream_ends import PromptRun, UpstreamEnds
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.errors import (
    DeadlineExceededError,
    OverloadedError,
    UpstreamLostError,
)
from briarrill.protocol.load_reports import short_hash
from briarrill.protocol.prompt_news import UpstreamCrash
from briarrill.protocol.request_keys import request_key
from standins.platform_engine import StandinEngine, stream_events
from tests.serving import free_port, serve_standin

PARTS = ('first', 'shared')

# a sound upstream may send and accept nothing for about this time
SOUND_SILENCE_S = 1.0

REQUEST = request_key('caller', b'GET', b'/x', b'')
OTHER_REQUEST = request_key('caller', b'GET', b'/y', b'')


@attrs.define
class Observed:
    """The observer of upstreams, and its upstream."""

    ends: UpstreamEnds
    table: UpstreamTable
    upstream: RegisteredUpstream
    changes: list = attrs.field(factory=list)

    @property
    def crashes(self):
        news = self.ends.quarantine.news()
        return news.crashes if news else ()

    def fail(self, error=UpstreamLostError, parts=PARTS):
        with contextlib.suppress(error), self.ends.track(self.upstream, parts):
            raise error('cut')

    async def settle(self):
        """Wait until the checks have ended, and some time more."""
        while self.ends._due or any(
            runs.is_checking for runs in self.ends._runs.values()
        ):
            await trio.sleep(0.01)
        await trio.sleep(0.05)


@pytest.fixture
async def observe():
    """Return a function that observes an upstream at an address."""
    async with trio.open_nursery() as nursery:

        def make(address):
            table = UpstreamTable(lambda: True)
            upstream = RegisteredUpstream(
                'i-1', 'llm', address, 'a', 1, incarnation='i-1/1'
            )
            table.register(upstream)
            changes = []
            ends = UpstreamEnds(
                table, PromptQuarantine(), lambda: changes.append(1)
            )
            nursery.start_soon(ends.run)
            return Observed(ends, table, upstream, changes)

        yield make
        nursery.cancel_scope.cancel()


async def test_refused_connection_after_a_cut_response_is_a_crash(observe):
    observed = observe(('127.0.0.1', free_port()))
    observed.fail()
    await observed.settle()
    (crash,) = observed.crashes
    assert crash.incarnation == short_hash('i-1/1')
    assert crash.first_parts == (short_hash('first'),)
    assert crash.other_parts == (short_hash('shared'),)
    assert observed.changes


@pytest.mark.parametrize('error', [UpstreamLostError, DeadlineExceededError])
async def test_cut_response_of_a_live_upstream_accuses_nobody(observe, error):
    async with serve_standin(StandinEngine(stream_events(1))) as address:
        observed = observe(address)
        for _ in range(10):
            observed.fail(error)
            await observed.settle()
        assert not observed.crashes


@contextlib.contextmanager
def _full_queue():
    """Yield a listening socket that accepts no connection, and its address.

    The kernel drops attempts while the queue of connections is full, as for a
    process that stands still.
    """
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield listener, listener.getsockname()


async def test_upstream_that_accepts_again_after_a_silence_accuses_nobody(
    observe,
):
    """Its prompts would be held back for the time of a quarantine."""
    with _full_queue() as (listener, address):
        observed = observe(address)
        observed.fail()
        await trio.sleep(SOUND_SILENCE_S)
        listener.listen(16)
        await observed.settle()
        assert not observed.crashes
        observed.fail()
        await observed.settle()
        assert not observed.crashes


async def test_upstream_that_goes_on_accepting_nothing_has_ended(observe):
    with _full_queue() as (_, address):
        observed = observe(address)
        observed.fail()
        await observed.settle()
        (crash,) = observed.crashes
        assert crash.first_parts == (short_hash('first'),)


async def test_successor_found_during_a_check_is_recorded_once(observe):
    with _full_queue() as (_, address):
        observed = observe(address)
        observed.fail()
        await trio.sleep(upstream_ends.CHECK_DELAY_S)
        observed.table.register(
            attrs.evolve(observed.upstream, incarnation='i-1/2')
        )
        with trio.fail_after(5):
            while not observed.crashes:
                await trio.sleep(0.02)
        changes = list(observed.changes)
        await trio.sleep(upstream_ends.MAX_SILENCE_S)
        assert observed.changes == changes


async def test_rejection_is_no_sign_of_a_crash(observe):
    observed = observe(('127.0.0.1', free_port()))
    observed.fail(OverloadedError)
    await observed.settle()
    assert not observed.crashes


@pytest.mark.parametrize('announces', [False, True])
async def test_upstream_that_leaves_by_plan_accuses_nobody(observe, announces):
    observed = observe(('127.0.0.1', free_port()))
    if announces:
        observed.table.mark_leaving('i-1/1')
    else:
        observed.table.register(
            attrs.evolve(observed.upstream, is_draining=True)
        )
    observed.fail()
    await observed.settle()
    assert not observed.crashes


async def test_upstream_that_serves_on_without_registration_accuses_nobody(
    observe,
):
    async with serve_standin(StandinEngine(stream_events(1))) as address:
        observed = observe(address)
        with observed.ends.track(observed.upstream, PARTS):
            observed.table.unregister('i-1')
            while not observed.ends._runs['i-1/1'].has_departed:
                await trio.sleep(0.02)
    observed.fail()
    await observed.settle()
    assert not observed.crashes


async def test_silent_upstream_with_a_successor_has_ended(observe):
    """Its prompts are known though nothing was ever received from it."""
    async with serve_standin(StandinEngine(stream_events(1))) as address:
        observed = observe(address)
        with observed.ends.track(observed.upstream, PARTS):
            successor = attrs.evolve(
                observed.upstream, upstream_id='i-2', incarnation='i-2/2'
            )
            observed.table.unregister('i-1')
            observed.table.register(successor)
            with trio.fail_after(5):
                while not observed.crashes:
                    await trio.sleep(0.02)


async def test_same_id_with_another_incarnation_is_another_upstream(observe):
    async with serve_standin(StandinEngine(stream_events(1))) as address:
        observed = observe(address)
        with observed.ends.track(observed.upstream, PARTS):
            observed.table.register(
                attrs.evolve(observed.upstream, incarnation='i-1/2')
            )
            with trio.fail_after(5):
                while not observed.crashes:
                    await trio.sleep(0.02)
        assert observed.crashes[0].incarnation == short_hash('i-1/1')


async def test_requests_after_a_known_crash_are_no_evidence(observe):
    observed = observe(('127.0.0.1', free_port()))
    observed.fail()
    await observed.settle()
    observed.fail(parts=('first', 'later'))
    await observed.settle()
    (crash,) = observed.crashes
    assert crash.other_parts == (short_hash('shared'),)


async def test_refused_connection_makes_waiting_prompts_evidence(observe):
    """The connections of an upstream without power are not closed."""
    observed = observe(('127.0.0.1', free_port()))
    with observed.ends.track(observed.upstream, PARTS):
        observed.ends.record_unreachable(observed.upstream)
        await observed.settle()
        assert observed.crashes


async def test_prompt_whose_answer_went_on_is_not_suspected(monkeypatch):
    now = 100.0
    monkeypatch.setattr(upstream_ends.time, 'monotonic', lambda: now)
    run = PromptRun(PARTS)
    run.record_bytes()
    now += upstream_ends.MAX_ANSWERED_S - 0.01
    run.record_bytes()
    assert run.is_suspect
    now += 0.02
    run.record_bytes()
    assert not run.is_suspect


async def test_whole_answer_clears_its_parts(observe):
    observed = observe(('127.0.0.1', free_port()))
    with observed.ends.track(observed.upstream, PARTS) as run:
        run.record_end(200, is_marked=True)
    assert observed.ends.quarantine.is_cleared(PARTS)
    observed.fail()
    await observed.settle()
    assert not observed.crashes


async def test_error_of_an_upstream_clears_nothing(observe):
    observed = observe(('127.0.0.1', free_port()))
    with observed.ends.track(observed.upstream, PARTS) as run:
        run.record_end(500, is_marked=True)
    assert not observed.ends.quarantine.is_cleared(PARTS)


async def test_answer_ended_by_close_clears_only_if_its_upstream_lives(
    observe,
):
    async with serve_standin(StandinEngine(stream_events(1))) as address:
        observed = observe(address)
        with observed.ends.track(observed.upstream, PARTS) as run:
            run.record_end(200, is_marked=False)
        assert not observed.ends.quarantine.is_cleared(PARTS)
        await observed.settle()
        assert observed.ends.quarantine.is_cleared(PARTS)
    with observed.ends.track(observed.upstream, ('bad',)) as last:
        last.record_end(200, is_marked=False)
    await observed.settle()
    assert not observed.ends.quarantine.is_cleared(('bad',))
    assert observed.crashes[0].first_parts == (short_hash('bad'),)


async def test_ended_requests_are_forgotten(observe):
    async with serve_standin(StandinEngine(stream_events(1))) as address:
        observed = observe(address)
        for number in range(2 * upstream_ends.MAX_BROKEN_RUNS):
            observed.fail(parts=('first', f'part{number}'))
        runs = observed.ends._runs['i-1/1']
        assert len(runs.broken) == upstream_ends.MAX_BROKEN_RUNS
        runs.forget_old(trio.current_time() + 1e9)
        await observed.settle()
        with trio.fail_after(5):
            while observed.ends._runs:
                await trio.sleep(0.05)


async def test_more_unmarked_answers_than_are_remembered_end_nothing(observe):
    async with serve_standin(StandinEngine(stream_events(1))) as address:
        observed = observe(address)
        for number in range(2 * upstream_ends.MAX_BROKEN_RUNS):
            parts = ('first', f'part{number}')
            with observed.ends.track(observed.upstream, parts) as run:
                run.record_end(200, is_marked=False)
            if number == upstream_ends.MAX_BROKEN_RUNS:
                await trio.sleep(upstream_ends.CHECK_DELAY_S / 2)
        await observed.settle()
        assert not observed.crashes
        assert (
            not observed.ends._runs
            or not next(iter(observed.ends._runs.values())).unmarked
        )


async def test_upstream_that_announces_its_departure_late_accuses_nobody(
    observe,
):
    """The announcement may come with another response, after the break."""
    observed = observe(('127.0.0.1', free_port()))
    observed.fail()
    observed.table.mark_leaving('i-1/1')
    await observed.settle()
    assert not observed.crashes


async def test_plain_request_without_parts_is_evidence_of_a_crash(observe):
    observed = observe(('127.0.0.1', free_port()))
    with (
        contextlib.suppress(UpstreamLostError),
        observed.ends.track(observed.upstream, (), REQUEST),
        observed.ends.track(observed.upstream, (), OTHER_REQUEST),
    ):
        raise UpstreamLostError('cut')
    await observed.settle()
    assert [set(crash.requests) for crash in observed.crashes] == [
        {REQUEST, OTHER_REQUEST}
    ]
    assert observed.crashes[0].first_parts == ()


async def test_item_in_flight_at_a_crash_is_no_request(observe):
    observed = observe(('127.0.0.1', free_port()))
    observed.fail()
    await observed.settle()
    assert [crash.requests for crash in observed.crashes] == [()]


async def test_whole_answer_clears_its_request(observe):
    observed = observe(('127.0.0.1', free_port()))
    with observed.ends.track(observed.upstream, (), REQUEST) as run:
        run.record_end(201, is_marked=True)
    assert observed.ends.quarantine.is_cleared((), REQUEST)
    assert not observed.ends.quarantine.is_cleared((), OTHER_REQUEST)


async def test_suspected_request_is_told_to_peers_when_it_is_sent(observe):
    observed = observe(('127.0.0.1', free_port()))
    quarantine = observed.ends.quarantine
    for incarnation in range(2):
        quarantine.record_crash(
            UpstreamCrash(incarnation, requests=(REQUEST,))
        )
    assert observed.changes == []
    with observed.ends.track(observed.upstream, (), REQUEST):
        assert observed.changes == [1]
        sent = quarantine.news().suspects
        assert sent == ((short_hash('i-1/1'), REQUEST),)
    assert quarantine.news().suspects == ()


def _suspect_shared_part(quarantine):
    shared = short_hash('shared')
    quarantine.record_answer(PARTS[:1])
    for incarnation in range(2):
        quarantine.record_crash(
            UpstreamCrash(incarnation, other_parts=(shared,))
        )
    return shared


async def test_suspected_part_is_told_to_peers_when_it_is_sent(observe):
    observed = observe(('127.0.0.1', free_port()))
    quarantine = observed.ends.quarantine
    shared = _suspect_shared_part(quarantine)
    assert observed.changes == []
    with observed.ends.track(observed.upstream, PARTS):
        assert observed.changes == [1]
        sent = quarantine.news().suspects
        assert sent == ((short_hash('i-1/1'), shared),)
    assert quarantine.news().suspects == ()


async def test_broken_suspect_counts_as_in_flight_until_the_check(observe):
    """Else another one is sent before the end of the first is known."""
    observed = observe(('127.0.0.1', free_port()))
    quarantine = observed.ends.quarantine
    shared = _suspect_shared_part(quarantine)
    observed.fail()
    assert quarantine.runs.is_in_flight(shared)
    await observed.settle()
    assert len(observed.crashes) == 3
    assert not quarantine.runs.is_in_flight(shared)


async def test_broken_suspect_at_a_live_upstream_is_sent_again(observe):
    async with serve_standin(StandinEngine(stream_events(1))) as address:
        observed = observe(address)
        quarantine = observed.ends.quarantine
        _suspect_shared_part(quarantine)
        observed.fail()
        assert quarantine.parts.hold(PARTS) is not None
        await observed.settle()
        assert quarantine.parts.hold(PARTS) is None


async def test_suspect_whose_answer_goes_on_holds_back_no_other(
    observe, monkeypatch
):
    now = [0.0]
    monkeypatch.setattr(upstream_ends.time, 'monotonic', lambda: now[0])
    observed = observe(('127.0.0.1', free_port()))
    quarantine = observed.ends.quarantine
    _suspect_shared_part(quarantine)
    with observed.ends.track(observed.upstream, PARTS) as run:
        run.record_bytes()
        assert quarantine.parts.hold(PARTS) is not None
        now[0] += upstream_ends.MAX_ANSWERED_S
        run.record_bytes()
        assert quarantine.parts.hold(PARTS) is None


async def test_answer_that_goes_on_clears_its_parts(observe, monkeypatch):
    """Whole answers may take longer than upstreams run between two crashes."""
    now = [0.0]
    monkeypatch.setattr(upstream_ends.time, 'monotonic', lambda: now[0])
    observed = observe(('127.0.0.1', free_port()))
    quarantine = observed.ends.quarantine
    with observed.ends.track(observed.upstream, PARTS, REQUEST) as run:
        run.record_bytes()
        assert not quarantine.is_cleared(PARTS)
        now[0] += upstream_ends.MAX_ANSWERED_S
        run.record_bytes()
        assert quarantine.is_cleared(PARTS)
        assert not quarantine.is_cleared((), REQUEST)


async def test_run_that_is_no_evidence_still_clears_its_parts(
    observe, monkeypatch
):
    """An item holds up no request with the same part, and may clear it."""
    now = [0.0]
    monkeypatch.setattr(upstream_ends.time, 'monotonic', lambda: now[0])
    observed = observe(('127.0.0.1', free_port()))
    quarantine = observed.ends.quarantine
    _suspect_shared_part(quarantine)
    with observed.ends.track(
        observed.upstream, PARTS, is_evidence=False
    ) as run:
        assert quarantine.parts.is_suspect(PARTS)
        assert quarantine.parts.hold(PARTS) is None
        assert not quarantine.runs.own_suspects
        run.record_bytes()
        now[0] += upstream_ends.MAX_ANSWERED_S
        run.record_bytes()
        assert quarantine.is_cleared(PARTS)


async def test_run_that_is_no_evidence_is_in_no_crash(observe):
    observed = observe(('127.0.0.1', free_port()))
    with observed.ends.track(
        observed.upstream, ('first', 'own'), is_evidence=False
    ):
        observed.fail(parts=('other',))
        await observed.settle()
    (crash,) = observed.crashes
    assert crash.first_parts == (short_hash('other'),)
    assert not crash.other_parts
