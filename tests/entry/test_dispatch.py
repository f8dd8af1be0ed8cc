"""Retries and errors of the dispatcher when upstreams fail."""

import contextlib
import itertools
import time

import pytest
import trio

from briarrill.coordination.ejection import FAILURES_TO_EJECT
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


async def _start_request(nursery, dispatcher, req):
    """Start a request; return a dict that its task fills in.

    Keys: ``chunks``, and at the end ``finish`` or ``error``.
    """
    outcome = {'chunks': []}

    async def run():
        try:
            response = await dispatcher.dispatch(req)
            with contextlib.closing(response):
                while (chunk := await response.next_chunk()) is not None:
                    outcome['chunks'].append(chunk)
                outcome['finish'] = response.finish
        except BriarrillError as exc:
            outcome['error'] = exc

    nursery.start_soon(run)
    return outcome


async def _wait_ended(outcome):
    """Wait for the finish or the error of a request."""
    while 'error' not in outcome and 'finish' not in outcome:
        await trio.sleep(0.01)


async def _wait_first_submit(sidecars):
    """Return the first sidecar with a submit, and that submit."""
    while True:
        for sidecar in sidecars:
            if sidecar.submits:
                return sidecar, sidecar.submits[0]
        await trio.sleep(0.01)


def _all_except(sidecars, excluded):
    return [sidecar for sidecar in sidecars if sidecar is not excluded]


async def test_upstream_lost_before_first_chunk_request_is_retried(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request()
        )
        first, _ = await _wait_first_submit(sidecars)
        entry.cancel_scopes[first.name].cancel()
        second, submit = await _wait_first_submit(_all_except(sidecars, first))
        second.send_chunk(submit, 0, b'whole')
        second.send_finish(submit, chunks=1)
        await _wait_ended(outcome)
        assert outcome['chunks'] == [b'whole']
        assert submit.attempt == 1


async def test_upstream_lost_after_first_chunk_raises_upstream_lost(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request()
        )
        first, submit = await _wait_first_submit(sidecars)
        first.send_chunk(submit, 0)
        while not outcome['chunks']:
            await trio.sleep(0.01)
        entry.cancel_scopes[first.name].cancel()
        await _wait_ended(outcome)
        assert isinstance(outcome['error'], UpstreamLostError)
        assert outcome['error'].ran is Ran.YES
        assert not any(other.submits for other in _all_except(sidecars, first))


async def test_closed_connection_ends_session_before_heartbeat_timeout(
    open_entry, sidecars, make_request, monkeypatch
):
    """Without detection of the closed socket it ends by timeout only."""
    monkeypatch.setattr('briarrill.entry.links.PEER_TIMEOUT_S', 3600)
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request()
        )
        first, submit = await _wait_first_submit(sidecars)
        first.send_chunk(submit, 0)
        while not outcome['chunks']:
            await trio.sleep(0.01)
        entry.cancel_scopes[first.name].cancel()
        with trio.fail_after(30):
            await _wait_ended(outcome)
        assert isinstance(outcome['error'], UpstreamLostError)


@pytest.mark.parametrize(
    'order',
    [(0, 2, 3), (0, 1, 1), (0, 2, 1), (1, 0)],
    ids=['lost', 'twice', 'out of order', 'late first'],
)
async def test_chunks_out_of_sequence_raise_an_error_and_cancel_the_call(
    open_entry, sidecars, make_request, order
):
    """Also guards against a crash by chunks that follow the gap."""
    async with open_entry(sidecars[:1]) as entry:
        async with trio.open_nursery() as nursery:
            outcome = await _start_request(
                nursery, entry.dispatcher, make_request(idempotent=False)
            )
            first, submit = await _wait_first_submit(sidecars)
            for seq in order:
                first.send_chunk(submit, seq)
            first.send_finish(submit, chunks=len(order))
            await _wait_ended(outcome)
        assert isinstance(outcome['error'], BriarrillError)
        assert outcome['error'].ran is not Ran.NO
        assert (await first.wait_cancel()).request_id == submit.request_id
        assert len(first.submits) == 1


async def test_missing_last_chunk_raises_upstream_lost(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request()
        )
        first, submit = await _wait_first_submit(sidecars)
        first.send_chunk(submit, 0)
        first.send_finish(submit, chunks=2)
        await _wait_ended(outcome)
        assert isinstance(outcome['error'], UpstreamLostError)


async def test_late_chunks_of_a_suspended_sidecar_are_discarded(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request()
        )
        first, stale = await _wait_first_submit(sidecars)
        first.is_silent = True
        second, submit = await _wait_first_submit(_all_except(sidecars, first))
        second.send_chunk(submit, 0, b'right')
        first.is_silent = False
        # the call of the ended session is cancelled at the sidecar
        assert (await first.wait_cancel()).request_id == stale.request_id
        first.send_chunk(stale, 0, b'wrong')
        first.send_finish(stale, chunks=1)
        second.send_chunk(submit, 1, b' answer')
        second.send_finish(submit, chunks=2)
        await _wait_ended(outcome)
        assert b''.join(outcome['chunks']) == b'right answer'
        while len(entry.upstreams.serving('m')) < len(sidecars):
            await trio.sleep(0.01)


async def test_non_idempotent_request_to_lost_upstream_is_not_retried(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request(idempotent=False)
        )
        first, _ = await _wait_first_submit(sidecars)
        entry.cancel_scopes[first.name].cancel()
        await _wait_ended(outcome)
        assert isinstance(outcome['error'], OutcomeUnknownError)
        assert outcome['error'].ran is Ran.UNKNOWN
        assert sum(len(sidecar.submits) for sidecar in sidecars) == 1


async def test_request_rejected_as_duplicate_is_not_retried(
    open_entry, sidecars, make_request
):
    """Guards against reporting it as OUTCOME_UNKNOWN, like a lost upstream."""
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request(idempotent=False)
        )
        first, submit = await _wait_first_submit(sidecars)
        first.send_finish(submit, code=ResultCode.DUPLICATE, ran=Ran.UNKNOWN)
        await _wait_ended(outcome)
        assert isinstance(outcome['error'], DuplicateError)
        assert outcome['error'].ran is Ran.UNKNOWN
        assert sum(len(sidecar.submits) for sidecar in sidecars) == 1


async def test_rejected_non_idempotent_request_is_retried(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request(idempotent=False)
        )
        first, submit = await _wait_first_submit(sidecars)
        first.send_finish(
            submit, code=ResultCode.DRAINING, ran=Ran.NO, message='leaving'
        )
        second, submit = await _wait_first_submit(_all_except(sidecars, first))
        second.send_finish(submit)
        await _wait_ended(outcome)
        assert outcome['finish'].code is ResultCode.OK


async def test_rejection_after_lost_attempt_reports_ran_unknown(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request()
        )
        first, _ = await _wait_first_submit(sidecars)
        entry.cancel_scopes[first.name].cancel()
        untried = _all_except(sidecars, first)
        for _ in range(2):
            rejecting, submit = await _wait_first_submit(untried)
            rejecting.send_finish(
                submit, code=ResultCode.OVERLOADED, ran=Ran.NO, message='full'
            )
            untried = _all_except(untried, rejecting)
        await _wait_ended(outcome)
        assert isinstance(outcome['error'], OverloadedError)
        assert outcome['error'].ran is Ran.UNKNOWN


async def test_no_upstream_after_lost_attempt_reports_ran_unknown(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars[:1]) as entry:
        async with trio.open_nursery() as nursery:
            outcome = await _start_request(
                nursery, entry.dispatcher, make_request()
            )
            first, _ = await _wait_first_submit(sidecars)
            entry.cancel_scopes[first.name].cancel()
            await _wait_ended(outcome)
        assert isinstance(outcome['error'], NoUpstreamError)
        assert outcome['error'].ran is Ran.UNKNOWN


async def test_upstream_failure_is_retried_for_idempotent_requests_only(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request()
        )
        first, submit = await _wait_first_submit(sidecars)
        first.send_finish(
            submit, code=ResultCode.UPSTREAM_FAILED, ran=Ran.UNKNOWN
        )
        second, submit = await _wait_first_submit(_all_except(sidecars, first))
        second.send_finish(submit)
        await _wait_ended(outcome)
        assert outcome['finish'].code is ResultCode.OK
        non_idempotent = make_request('r2', idempotent=False)
        outcome = await _start_request(
            nursery, entry.dispatcher, non_idempotent
        )
        received = await _wait_submit_of(sidecars, 'r2')
        received[0].send_finish(
            received[1], code=ResultCode.UPSTREAM_FAILED, ran=Ran.YES
        )
        await _wait_ended(outcome)
        assert isinstance(outcome['error'], UpstreamFailedError)
        assert outcome['error'].ran is Ran.YES


async def _wait_submit_of(sidecars, request_id):
    """Return the sidecar that received a request, and its submit."""
    received = []
    while not received:
        await trio.sleep(0.01)
        received = [
            (sidecar, submit)
            for sidecar in sidecars
            for submit in sidecar.submits
            if submit.request_id == request_id
        ]
    return received[0]


async def test_failing_upstream_is_ejected_after_three_failures(
    open_entry, sidecars, make_request
):
    """A failing upstream has the lowest load, so the policy prefers it."""
    broken, healthy = sidecars[:2]
    opened = open_entry([broken, healthy])
    async with opened as entry, trio.open_nursery() as nursery:
        nursery.start_soon(_finish_all, broken, _FAILURE)
        nursery.start_soon(_finish_all, healthy, {})
        for number in range(60):
            response = await entry.dispatcher.dispatch(
                make_request(f'{number}')
            )
            response.close()
        nursery.cancel_scope.cancel()
    assert len(healthy.submits) == 60
    assert len(broken.submits) == 3


async def test_failures_with_whole_responses_between_do_not_eject(
    open_entry, sidecars, make_request
):
    """Guards against ejecting an upstream for a few failures in all."""
    upstream, other = sidecars[:2]
    async with (
        open_entry([upstream, other]) as entry,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(_finish_all, upstream, {}, _FAILURE)
        nursery.start_soon(_finish_all, other, {})
        for number in range(60):
            response = await entry.dispatcher.dispatch(
                make_request(f'{number}')
            )
            response.close()
        ejector = entry.dispatcher._get_ejector(make_request().target)
        health = ejector._health[upstream.name]
        nursery.cancel_scope.cancel()
    assert len(upstream.submits) > 2 * FAILURES_TO_EJECT
    assert not health.ejections


_FAILURE = {'code': ResultCode.UPSTREAM_FAILED, 'ran': Ran.NO}


async def _finish_all(sidecar, *fields):
    """Finish the submits at a sidecar with these fields in turn."""
    count = 0
    while True:
        count += 1
        sidecar.send_finish(
            await sidecar.wait_submit(count), **fields[count % len(fields)]
        )


async def test_bad_request_is_not_retried(open_entry, sidecars, make_request):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        outcome = await _start_request(
            nursery, entry.dispatcher, make_request()
        )
        first, submit = await _wait_first_submit(sidecars)
        first.send_finish(submit, code=ResultCode.BAD_REQUEST, ran=Ran.NO)
        await _wait_ended(outcome)
        assert isinstance(outcome['error'], BadRequestError)
        assert sum(len(sidecar.submits) for sidecar in sidecars) == 1


async def test_exhausted_retry_budget_raises_the_last_error(
    open_entry, sidecars, make_request
):
    budgets = RetryBudgets(ratio=0, burst=1)
    rejection = {'code': ResultCode.DRAINING, 'ran': Ran.NO}
    async with open_entry(sidecars, budgets=budgets) as entry:
        async with trio.open_nursery() as nursery:
            outcome = await _start_request(
                nursery, entry.dispatcher, make_request()
            )
            first, submit = await _wait_first_submit(sidecars)
            first.send_finish(submit, **rejection)
            second, submit = await _wait_first_submit(
                _all_except(sidecars, first)
            )
            second.send_finish(submit, **rejection)
            await _wait_ended(outcome)
        assert isinstance(outcome['error'], DrainingError)
        assert outcome['error'].ran is Ran.NO


async def test_many_calls_of_a_lost_upstream_are_all_retried(
    open_entry, sidecars, make_request
):
    """One contract may own all calls of an upstream: all need a retry."""
    async with open_entry(sidecars[:2]) as entry:
        async with trio.open_nursery() as nursery:
            outcomes = [
                await _start_request(
                    nursery, entry.dispatcher, make_request(f'r{number}')
                )
                for number in range(60)
            ]
            while sum(len(sidecar.submits) for sidecar in sidecars) < 60:
                await trio.sleep(0.01)
            first, second = sidecars[:2]
            lost_count = len(first.submits)
            entry.cancel_scopes[first.name].cancel()
            await second.wait_submit(60)
            for submit in second.submits:
                second.send_finish(submit)
            for outcome in outcomes:
                await _wait_ended(outcome)
        assert lost_count > 20
        assert all('finish' in outcome for outcome in outcomes)


async def test_cancelled_caller_cancels_request_at_the_upstream(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry:
        async with trio.open_nursery() as nursery:
            await _start_request(nursery, entry.dispatcher, make_request())
            first, submit = await _wait_first_submit(sidecars)
            nursery.cancel_scope.cancel()
        assert (await first.wait_cancel()).request_id == submit.request_id


async def test_deadline_passed_raises_error_without_another_attempt(
    open_entry, sidecars, make_request
):
    async with open_entry(sidecars) as entry, trio.open_nursery() as nursery:
        req = make_request(deadline_s=time.monotonic() + 0.3)
        outcome = await _start_request(nursery, entry.dispatcher, req)
        first, submit = await _wait_first_submit(sidecars)
        await _wait_ended(outcome)
        assert isinstance(outcome['error'], DeadlineExceededError)
        assert outcome['error'].ran is Ran.UNKNOWN
        assert (await first.wait_cancel()).request_id == submit.request_id
        assert not any(other.submits for other in _all_except(sidecars, first))


async def test_deadlines_passed_at_all_upstreams_eject_none(
    open_entry, sidecars, make_request
):
    """Counted as failures, they would eject half of an overloaded pool."""
    async with open_entry(sidecars) as entry:
        for number in range(12):
            req = make_request(f'{number}', deadline_s=time.monotonic() + 0.05)
            with pytest.raises(DeadlineExceededError):
                await entry.dispatcher.dispatch(req)
        before = [len(sidecar.submits) for sidecar in sidecars]
        assert min(before) > 0
        for number in range(12):
            req = make_request(
                f'again-{number}', deadline_s=time.monotonic() + 0.05
            )
            with pytest.raises(DeadlineExceededError):
                await entry.dispatcher.dispatch(req)
        after = [len(sidecar.submits) for sidecar in sidecars]
        assert all(
            count > earlier
            for count, earlier in zip(after, before, strict=True)
        )


async def test_upstream_whose_responses_break_after_a_chunk_is_left_out(
    open_entry, sidecars, make_request
):
    """Guards against an upstream that looks idle since each call fails."""
    broken, sound = sidecars[:2]
    async with open_entry([broken, sound]) as entry:
        dispatcher = entry.dispatcher
        async with trio.open_nursery() as nursery:
            for sidecar in (broken, sound):
                nursery.start_soon(_break_or_finish, sidecar, broken)
            outcomes = []
            for _ in range(20):
                outcome = await _start_request(
                    nursery, dispatcher, make_request()
                )
                await _wait_ended(outcome)
                outcomes.append(outcome)
            nursery.cancel_scope.cancel()
    assert len(broken.submits) <= FAILURES_TO_EJECT
    assert sum('error' in one for one in outcomes) <= FAILURES_TO_EJECT


async def _break_or_finish(sidecar, broken):
    """Answer each request with a chunk, then end it, or fail it."""
    code = ResultCode.UPSTREAM_FAILED if sidecar is broken else ResultCode.OK
    for number in itertools.count(1):
        submit = await sidecar.wait_submit(number)
        sidecar.send_chunk(submit, 0)
        sidecar.send_finish(submit, chunks=1, code=code, ran=Ran.YES)
