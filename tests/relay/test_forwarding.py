"""Requests at upstreams that refuse, fail, cut, lag or leave."""

import contextlib

import attrs
import pytest
import trio
from eliot import add_destinations, remove_destination

from briarrill.errors import UpstreamLostError
from standins.platform_engine import (
    StandinEngine,
    event,
    refuse,
    stream,
    whole,
)
from tests.relay.world import (
    IDEMPOTENT,
    ONCE,
    RESUMABLE,
    STREAM,
    world,
)

ALL = b''.join(event(number) for number in range(1, 6))


@contextlib.contextmanager
def lines_of(request_id):
    """Collect the log lines of a request, the last one of each type."""
    found = {}

    def take(line):
        if line.get('request_id') == request_id:
            found[line['message_type']] = line

    add_destinations(take)
    try:
        yield found
    finally:
        remove_destination(take)


async def _close(run, conn):
    raise ConnectionResetError


async def _hang(run, conn):
    await trio.sleep_forever()


async def _late_answer_first(run, conn):
    old = b'content-length: 3\r\nbriarrill-attempt-id: old\r\n\r\nold'
    await conn._send(b'HTTP/1.1 200 OK\r\n' + old)
    await whole(b'own')(run, conn)


async def _nonsense(run, conn):
    await conn._send(b'no answer at all\r\n\r\n')


async def test_request_and_answer_are_what_they_were():
    engine = StandinEngine(whole(b'answer'))
    async with world([IDEMPOTENT], engine) as fleet:
        status, headers, body = await fleet.ask(
            '/idempotent/a%2Fb?x=%20y', b'the body', model='m'
        )
    (run,) = engine.runs
    assert run.head.target == b'/idempotent/a%2Fb?x=%20y'
    assert run.body == b'the body'
    assert run.header(b'briarrill-model') == b'm'
    assert run.header(b'briarrill-attempt-id') == b'r1'
    assert run.header(b'briarrill-expect-instance') == b'i-0'
    assert 0 < int(run.header(b'briarrill-deadline-ms')) <= 3000
    assert (status, body) == (200, b'answer')
    assert b'briarrill-response-seal' in headers


@pytest.mark.parametrize('status', [503, 429, 421])
@pytest.mark.parametrize('kept', [STREAM, ONCE, IDEMPOTENT])
async def test_what_did_not_run_runs_elsewhere(status, kept):
    first, second = StandinEngine(refuse(status)), StandinEngine(whole(b'ok'))
    async with world([kept], first, second) as fleet:
        found, _, body = await fleet.ask(kept.prefix)
    assert (found, body) == (200, b'ok')
    assert len(first.runs) == len(second.runs) == 1


async def test_refusal_by_all_is_told_with_the_time_to_come_back():
    engines = [StandinEngine(refuse()) for _ in range(2)]
    async with world([ONCE], *engines) as fleet:
        status, headers, _ = await fleet.ask(ONCE.prefix)
    assert status == 503
    assert float(headers[b'retry-after']) > 0
    assert b'briarrill-response-seal' not in headers


@pytest.mark.parametrize('kept', [STREAM, ONCE])
@pytest.mark.parametrize('behave', [_close, _nonsense, whole(b'', 500)])
async def test_what_may_have_run_is_never_repeated(kept, behave):
    first, second = StandinEngine(behave), StandinEngine(whole(b'ok'))
    async with world([kept], first, second) as fleet:
        status, _, _ = await fleet.ask(kept.prefix)
    assert status in {500, 502}
    assert len(first.runs) == 1
    assert second.runs == []


@pytest.mark.parametrize('behave', [_close, _nonsense, whole(b'', 500)])
async def test_idempotent_request_is_repeated(behave):
    first, second = StandinEngine(behave), StandinEngine(whole(b'ok'))
    async with world([IDEMPOTENT], first, second) as fleet:
        status, _, body = await fleet.ask(IDEMPOTENT.prefix)
    assert (status, body) == (200, b'ok')
    assert len(second.runs) == 1


async def test_runs_of_one_request_stay_within_its_attempts():
    engines = [StandinEngine(_close) for _ in range(4)]
    async with world([IDEMPOTENT], *engines) as fleet:
        status, _, _ = await fleet.ask(IDEMPOTENT.prefix)
    assert status == 502
    assert sum(len(engine.runs) for engine in engines) == 2


async def test_failure_of_the_upstream_is_passed_on_as_it_is():
    engine = StandinEngine(whole(b'why', 500))
    async with world([IDEMPOTENT], engine) as fleet:
        status, headers, body = await fleet.ask(IDEMPOTENT.prefix)
    assert (status, body) == (500, b'why')
    assert b'briarrill-response-seal' in headers


async def test_silent_upstream_is_left_for_another_in_time():
    kept = attrs.evolve(IDEMPOTENT, objective_s=0.05)
    first, second = StandinEngine(_hang), StandinEngine(whole(b'ok'))
    async with world([kept], first, second) as fleet:
        status, _, _ = await fleet.ask(kept.prefix)
        while not first.left:
            await trio.sleep(0.01)
    assert status == 200


async def test_silence_does_not_end_what_may_not_be_repeated():
    kept = attrs.evolve(STREAM, objective_s=0.01, longest_pause_s=0.01)
    engine = StandinEngine(stream(5, pause_s=0.1))
    async with world([kept], engine) as fleet:
        status, _, body = await fleet.ask(kept.prefix)
    assert (status, body) == (200, ALL)


async def test_time_that_is_over_ends_the_request_at_once():
    kept = attrs.evolve(STREAM, timeout_s=0.2)
    engine = StandinEngine(_hang)
    async with world([kept], engine) as fleet:
        status, _, _ = await fleet.ask(kept.prefix)
        while not engine.left:
            await trio.sleep(0.01)
    assert status == 504


async def test_late_answer_to_another_request_is_not_this_ones():
    engine = StandinEngine(_late_answer_first)
    async with world([ONCE], engine) as fleet:
        status, _, body = await fleet.ask(ONCE.prefix)
    assert (status, body) == (200, b'own')


@pytest.mark.parametrize('events', [0, 1, 3])
async def test_resumable_stream_goes_on_after_its_last_event(events):
    cut = stream(5, cut_after=events) if events else _close
    first, second = StandinEngine(cut), StandinEngine(stream(5))
    async with world([RESUMABLE], first, second) as fleet:
        status, _, body = await fleet.ask(RESUMABLE.prefix)
    assert (status, body) == (200, ALL)
    last = second.runs[0].header(b'last-event-id')
    assert last == (str(events).encode() if events else None)


async def test_stream_cut_inside_an_event_has_no_half_event():
    async def cut_inside(run, conn):
        await conn.send_head(200, ())
        await conn.send_body(event(1) + event(2)[:5])
        raise ConnectionResetError

    first, second = StandinEngine(cut_inside), StandinEngine(stream(5))
    async with world([RESUMABLE], first, second) as fleet:
        _, _, body = await fleet.ask(RESUMABLE.prefix)
    assert body == ALL


async def test_cut_stream_that_may_not_go_on_looks_cut():
    first = StandinEngine(stream(5, cut_after=2))
    second = StandinEngine(stream(5))
    async with world([STREAM], first, second) as fleet:
        with pytest.raises(UpstreamLostError):
            await fleet.ask(STREAM.prefix)
    assert second.runs == []


async def test_caller_that_resumes_gets_the_rest():
    engine = StandinEngine(stream(5))
    async with world([RESUMABLE], engine) as fleet:
        _, _, body = await fleet.ask(RESUMABLE.prefix, last_event_id='3')
    assert body == event(4) + event(5)


async def test_caller_that_leaves_ends_the_run():
    engine = StandinEngine(stream(1000, pause_s=0.01))
    async with world([STREAM], engine) as fleet:
        with trio.move_on_after(0.2):
            await fleet.ask(STREAM.prefix)
        while not engine.left:
            await trio.sleep(0.01)
    assert fleet.load.in_flight.online == {}


async def test_no_listener_is_no_run():
    engine = StandinEngine(whole(b'ok'))
    async with world([ONCE], engine) as fleet:
        gone = attrs.evolve(
            fleet.upstreams.find('i-0'),
            upstream_id='i-gone',
            address=('127.0.0.1', 1),
            slots=90,
            incarnation='i-gone',
        )
        fleet.upstreams.put(gone)
        status, _, body = await fleet.ask(ONCE.prefix)
    assert (status, body) == (200, b'ok')


async def test_request_that_cannot_be_in_time_is_refused_at_once():
    engine = StandinEngine(whole(b'ok'))
    async with world([ONCE], engine) as fleet:
        times = fleet.front.forwarder._times('llm')
        times.add(2.0)
        fleet.load.in_flight.online['i-0'] = 60
        status, headers, _ = await fleet.ask(ONCE.prefix, deadline_ms='1000')
    assert status == 503
    assert float(headers[b'retry-after']) > 1
    assert engine.runs == []


async def test_late_answer_is_explained_by_its_request_id():
    kept = attrs.evolve(ONCE, objective_s=0.01)

    async def slow(run, conn):
        await trio.sleep(0.05)
        await whole(b'ok')(run, conn)

    engines = StandinEngine(refuse(), slow), StandinEngine(slow)
    with lines_of('r1') as found:
        async with world([kept], *engines) as fleet:
            fleet.load.in_flight.online['i-1'] = 3
            await fleet.ask(kept.prefix)
    assert found['request:attempt-failed']['upstream'] == 'i-0'
    assert found['request:attempt-failed']['ran'] == 'no'
    late = found['request:late']
    assert late['attempts'] == 2
    assert late['first_bytes_s'] > late['objective_s']
    assert late['place']['name'] == 'i-1'
    assert late['place']['online'] == 3


async def test_caller_that_leaves_is_explained_by_its_request_id():
    """The upstream runs the request and its answer is lost."""
    with lines_of('r1') as found:
        async with world([STREAM], StandinEngine(_hang)) as fleet:
            with trio.move_on_after(0.2):
                await fleet.ask(STREAM.prefix)
            while fleet.front.active:
                await trio.sleep(0.01)
    left = found['request:caller-left']
    assert left['upstream'] == 'i-0'
    assert left['attempts'] == 1
    assert not left['has_begun']
