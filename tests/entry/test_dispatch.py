"""Answers and outcomes when upstreams and connections fail."""

import contextlib
import time

import pytest
import trio

from briarrill.coordination.retries import RetryBudgets
from briarrill.errors import (
    BadRequestError,
    BriarrillError,
    DeadlineExceededError,
    DrainingError,
    DuplicateError,
    NoUpstreamError,
    OutcomeUnknownError,
    OverloadedError,
    UpstreamFailedError,
    UpstreamLostError,
)
from briarrill.result_codes import Ran, ResultCode


async def _collect(nursery, dispatcher, req):
    """Start a request; return where its outcome will stand."""
    outcome = {'chunks': []}

    async def run():
        try:
            answer = await dispatcher.open(req)
            with contextlib.closing(answer):
                while (chunk := await answer.next_chunk()) is not None:
                    outcome['chunks'].append(chunk)
                outcome['finish'] = answer.finish
        except BriarrillError as exc:
            outcome['error'] = exc

    nursery.start_soon(run)
    return outcome


async def _ended(outcome):
    while 'error' not in outcome and 'finish' not in outcome:
        await trio.sleep(0.01)


async def _first_submit(sidecars):
    """Return the sidecar that got the request first, and its submit."""
    while True:
        for sidecar in sidecars:
            if sidecar.submits:
                return sidecar, sidecar.submits[0]
        await trio.sleep(0.01)


def _others(sidecars, taken):
    return [sidecar for sidecar in sidecars if sidecar is not taken]


async def test_lost_before_the_first_chunk_runs_elsewhere(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(nursery, entry.dispatcher, make_request())
        first, _ = await _first_submit(sidecars)
        entry.stops[first.name].cancel()
        second, submit = await _first_submit(_others(sidecars, first))
        second.chunk(submit, 0, b'whole')
        second.finish(submit, chunks=1)
        await _ended(outcome)
        assert outcome['chunks'] == [b'whole']
        assert submit.attempt == 1


async def test_lost_after_the_first_chunk_is_an_error(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(nursery, entry.dispatcher, make_request())
        first, submit = await _first_submit(sidecars)
        first.chunk(submit, 0)
        while not outcome['chunks']:
            await trio.sleep(0.01)
        entry.stops[first.name].cancel()
        await _ended(outcome)
        assert isinstance(outcome['error'], UpstreamLostError)
        assert outcome['error'].ran is Ran.YES
        assert not any(other.submits for other in _others(sidecars, first))


async def test_closed_connection_ends_the_session_without_the_timeout(
    open_entry, sidecars, make_request, monkeypatch
):
    """The heartbeat timeout is for peers that only fall silent."""
    monkeypatch.setattr('briarrill.entry.links.PEER_TIMEOUT_S', 3600)
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(nursery, entry.dispatcher, make_request())
        first, submit = await _first_submit(sidecars)
        first.chunk(submit, 0)
        while not outcome['chunks']:
            await trio.sleep(0.01)
        entry.stops[first.name].cancel()
        with trio.fail_after(30):
            await _ended(outcome)
        assert isinstance(outcome['error'], UpstreamLostError)


@pytest.mark.parametrize(
    'order',
    [(0, 2, 3), (0, 1, 1), (0, 2, 1), (1, 0)],
    ids=['lost', 'twice', 'out of order', 'late first'],
)
async def test_damaged_answer_never_looks_whole(
    open_entry, sidecars, make_request, order
):
    """Chunks that go on after the gap must not end the entry either."""
    async with open_entry(sidecars[:1]) as entry:
        async with trio.open_nursery() as nursery:
            outcome = await _collect(
                nursery, entry.dispatcher, make_request(idempotent=False)
            )
            first, submit = await _first_submit(sidecars)
            for seq in order:
                first.chunk(submit, seq)
            first.finish(submit, chunks=len(order))
            await _ended(outcome)
        assert isinstance(outcome['error'], BriarrillError)
        assert outcome['error'].ran is not Ran.NO
        assert (await first.next_cancel()).request_id == submit.request_id
        assert len(first.submits) == 1


async def test_lost_last_chunk_is_an_error(open_entry, sidecars, make_request):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(nursery, entry.dispatcher, make_request())
        first, submit = await _first_submit(sidecars)
        first.chunk(submit, 0)
        first.finish(submit, chunks=2)
        await _ended(outcome)
        assert isinstance(outcome['error'], UpstreamLostError)


async def test_late_answer_of_a_frozen_sidecar_reaches_nobody(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(nursery, entry.dispatcher, make_request())
        first, stale = await _first_submit(sidecars)
        first.is_silent = True
        second, submit = await _first_submit(_others(sidecars, first))
        second.chunk(submit, 0, b'right')
        first.is_silent = False
        # the work that was given up is stopped when the sidecar goes on
        assert (await first.next_cancel()).request_id == stale.request_id
        first.chunk(stale, 0, b'wrong')
        first.finish(stale, chunks=1)
        second.chunk(submit, 1, b' answer')
        second.finish(submit, chunks=2)
        await _ended(outcome)
        assert b''.join(outcome['chunks']) == b'right answer'
        while len(entry.upstreams.serving('m')) < len(sidecars):
            await trio.sleep(0.01)


async def test_non_idempotent_call_is_sent_once(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(
            nursery, entry.dispatcher, make_request(idempotent=False)
        )
        first, _ = await _first_submit(sidecars)
        entry.stops[first.name].cancel()
        await _ended(outcome)
        assert isinstance(outcome['error'], OutcomeUnknownError)
        assert outcome['error'].ran is Ran.UNKNOWN
        assert sum(len(sidecar.submits) for sidecar in sidecars) == 1


async def test_call_that_the_sidecar_remembers_is_a_duplicate(
    open_entry, sidecars, make_request
):
    """Before, the caller could not tell it from a lost upstream."""
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(
            nursery, entry.dispatcher, make_request(idempotent=False)
        )
        first, submit = await _first_submit(sidecars)
        first.finish(submit, code=ResultCode.DUPLICATE, ran=Ran.UNKNOWN)
        await _ended(outcome)
        assert isinstance(outcome['error'], DuplicateError)
        assert outcome['error'].ran is Ran.UNKNOWN
        assert sum(len(sidecar.submits) for sidecar in sidecars) == 1


async def test_refused_non_idempotent_call_runs_elsewhere(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(
            nursery, entry.dispatcher, make_request(idempotent=False)
        )
        first, submit = await _first_submit(sidecars)
        first.finish(
            submit, code=ResultCode.DRAINING, ran=Ran.NO, message='leaving'
        )
        second, submit = await _first_submit(_others(sidecars, first))
        second.finish(submit)
        await _ended(outcome)
        assert outcome['finish'].code is ResultCode.OK


async def test_refusal_after_a_lost_attempt_does_not_say_it_did_not_run(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(nursery, entry.dispatcher, make_request())
        first, _ = await _first_submit(sidecars)
        entry.stops[first.name].cancel()
        rest = _others(sidecars, first)
        for _ in range(2):
            refusing, submit = await _first_submit(rest)
            refusing.finish(
                submit, code=ResultCode.OVERLOADED, ran=Ran.NO, message='full'
            )
            rest = _others(rest, refusing)
        await _ended(outcome)
        assert isinstance(outcome['error'], OverloadedError)
        assert outcome['error'].ran is Ran.UNKNOWN


async def test_no_upstream_left_after_a_lost_attempt_is_unknown(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars[:1]) as entry:
        async with trio.open_nursery() as nursery:
            outcome = await _collect(nursery, entry.dispatcher, make_request())
            first, _ = await _first_submit(sidecars)
            entry.stops[first.name].cancel()
            await _ended(outcome)
        assert isinstance(outcome['error'], NoUpstreamError)
        assert outcome['error'].ran is Ran.UNKNOWN


async def test_failed_engine_is_retried_for_idempotent_requests_only(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(nursery, entry.dispatcher, make_request())
        first, submit = await _first_submit(sidecars)
        first.finish(submit, code=ResultCode.UPSTREAM_FAILED, ran=Ran.UNKNOWN)
        second, submit = await _first_submit(_others(sidecars, first))
        second.finish(submit)
        await _ended(outcome)
        assert outcome['finish'].code is ResultCode.OK
        once = make_request('r2', idempotent=False)
        outcome = await _collect(nursery, entry.dispatcher, once)
        taken = await _submit_of(sidecars, 'r2')
        taken[0].finish(taken[1], code=ResultCode.UPSTREAM_FAILED, ran=Ran.YES)
        await _ended(outcome)
        assert isinstance(outcome['error'], UpstreamFailedError)
        assert outcome['error'].ran is Ran.YES


async def _submit_of(sidecars, request_id):
    found = []
    while not found:
        await trio.sleep(0.01)
        found = [
            (sidecar, submit)
            for sidecar in sidecars
            for submit in sidecar.submits
            if submit.request_id == request_id
        ]
    return found[0]


async def test_failing_upstream_gets_no_more_requests(
    open_entry, sidecars, make_request
):
    """An upstream that fails at once looks idle and would attract all."""
    failing, sound = sidecars[:2]
    both = open_entry([failing, sound])
    async with both as entry, trio.open_nursery() as nursery:
        nursery.start_soon(_answer_all, failing, _FAILED)
        nursery.start_soon(_answer_all, sound, {})
        for number in range(60):
            answer = await entry.dispatcher.open(make_request(f'{number}'))
            answer.close()
        nursery.cancel_scope.cancel()
    assert len(sound.submits) == 60
    assert len(failing.submits) == 3


_FAILED = {'code': ResultCode.UPSTREAM_FAILED, 'ran': Ran.NO}


async def _answer_all(sidecar, fields):
    count = 0
    while True:
        count += 1
        sidecar.finish(await sidecar.next_submit(count), **fields)


async def test_wrong_request_is_not_sent_to_other_upstreams(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _collect(nursery, entry.dispatcher, make_request())
        first, submit = await _first_submit(sidecars)
        first.finish(submit, code=ResultCode.BAD_REQUEST, ran=Ran.NO)
        await _ended(outcome)
        assert isinstance(outcome['error'], BadRequestError)
        assert sum(len(sidecar.submits) for sidecar in sidecars) == 1


async def test_retries_stop_at_the_budget(open_entry, sidecars, make_request):
    budgets = RetryBudgets(ratio=0, burst=1)
    refusal = {'code': ResultCode.DRAINING, 'ran': Ran.NO}
    async with open_entry(sidecars, budgets=budgets) as entry:
        async with trio.open_nursery() as nursery:
            outcome = await _collect(nursery, entry.dispatcher, make_request())
            first, submit = await _first_submit(sidecars)
            first.finish(submit, **refusal)
            second, submit = await _first_submit(_others(sidecars, first))
            second.finish(submit, **refusal)
            await _ended(outcome)
        assert isinstance(outcome['error'], DrainingError)
        assert outcome['error'].ran is Ran.NO


async def test_all_calls_of_a_lost_upstream_are_retried(
    open_entry, sidecars, make_request
):
    """One contract may hold all that an upstream runs and queues."""
    async with open_entry(sidecars[:2]) as entry:
        async with trio.open_nursery() as nursery:
            outcomes = [
                await _collect(
                    nursery, entry.dispatcher, make_request(f'r{number}')
                )
                for number in range(60)
            ]
            while sum(len(one.submits) for one in sidecars) < 60:
                await trio.sleep(0.01)
            first, second = sidecars[:2]
            lost = len(first.submits)
            entry.stops[first.name].cancel()
            await second.next_submit(60)
            for submit in second.submits:
                second.finish(submit)
            for outcome in outcomes:
                await _ended(outcome)
        assert lost > 20
        assert all('finish' in one for one in outcomes)


async def test_caller_that_goes_away_cancels_at_the_upstream(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry:
        async with trio.open_nursery() as nursery:
            await _collect(nursery, entry.dispatcher, make_request())
            first, submit = await _first_submit(sidecars)
            nursery.cancel_scope.cancel()
        assert (await first.next_cancel()).request_id == submit.request_id


async def test_no_attempt_begins_after_the_deadline(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        req = make_request(deadline_s=time.monotonic() + 0.3)
        outcome = await _collect(nursery, entry.dispatcher, req)
        first, submit = await _first_submit(sidecars)
        await _ended(outcome)
        assert isinstance(outcome['error'], DeadlineExceededError)
        assert outcome['error'].ran is Ran.UNKNOWN
        assert (await first.next_cancel()).request_id == submit.request_id
        assert not any(other.submits for other in _others(sidecars, first))


async def test_deadlines_that_pass_everywhere_eject_nothing(
    open_entry, sidecars, make_request
):
    """Under overload half of the pool would be left out on top of it."""
    async with open_entry(sidecars) as entry:
        for number in range(12):
            req = make_request(f'{number}', deadline_s=time.monotonic() + 0.05)
            with pytest.raises(DeadlineExceededError):
                await entry.dispatcher.open(req)
        before = [len(sidecar.submits) for sidecar in sidecars]
        assert min(before) > 0
        for number in range(12):
            req = make_request(
                f'again-{number}', deadline_s=time.monotonic() + 0.05
            )
            with pytest.raises(DeadlineExceededError):
                await entry.dispatcher.open(req)
        after = [len(sidecar.submits) for sidecar in sidecars]
        assert all(now > then for now, then in zip(after, before, strict=True))
