"""Sidecars that send a refusal once more, late, or in another order."""

import trio
from trio.testing import wait_all_tasks_blocked

from briarrill.errors import BriarrillError, DuplicateError
from briarrill.result_codes import Ran, ResultCode


def _refuse(sidecar, submit):
    sidecar.send_finish(submit, code=ResultCode.OVERLOADED, ran=Ran.NO)


async def _dispatch(dispatcher, req, outcome):
    """Send a request; store its response or its error."""
    try:
        response = await dispatcher.dispatch(req)
    except BriarrillError as exc:
        outcome.append(exc)
        return
    outcome.append(await response.next_chunk())
    response.close()


async def test_refusal_written_again_answers_no_other_attempt(
    open_entry, sidecars, make_request
):
    sidecar = sidecars[0]
    outcome = []
    async with open_entry([sidecar]) as entry, trio.open_nursery() as nursery:
        req = make_request(idempotent=False)
        nursery.start_soon(_dispatch, entry.dispatcher, req, outcome)
        first = await sidecar.wait_submit(1)
        _refuse(sidecar, first)
        _refuse(sidecar, first)
        second = await sidecar.wait_submit(2)
        assert second.attempt != first.attempt
        _refuse(sidecar, first)
        sidecar.send_chunk(second, 0, b'whole')
        _refuse(sidecar, first)
        sidecar.send_finish(second, chunks=1)
    assert outcome == [b'whole']
    assert len(sidecar.submits) == 2


async def test_refusals_in_another_order_answer_their_own_requests(
    open_entry, sidecars, make_request
):
    sidecar = sidecars[0]
    outcomes = {name: [] for name in ('r1', 'r2')}
    async with open_entry([sidecar]) as entry, trio.open_nursery() as nursery:
        for number, name in enumerate(outcomes, 1):
            nursery.start_soon(
                _dispatch,
                entry.dispatcher,
                make_request(name, idempotent=False),
                outcomes[name],
            )
            await sidecar.wait_submit(number)
        r1, r2 = sidecar.submits
        for _ in range(2):
            sidecar.send_finish(r2, code=ResultCode.BAD_REQUEST, ran=Ran.NO)
        sidecar.send_chunk(r1, 0, b'whole')
        sidecar.send_finish(r1, chunks=1)
    assert outcomes['r1'] == [b'whole']
    assert outcomes['r2'][0].code is ResultCode.BAD_REQUEST


async def test_late_refusal_of_a_request_that_was_left_answers_no_repeat(
    open_entry, sidecars, make_request
):
    """Guards against a repeat that is sent again though it may run."""
    sidecar = sidecars[0]
    outcome = []
    async with open_entry([sidecar]) as entry, trio.open_nursery() as nursery:
        req = make_request('key', idempotent=False)
        async with trio.open_nursery() as caller:
            caller.start_soon(_dispatch, entry.dispatcher, req, [])
            left = await sidecar.wait_submit()
            caller.cancel_scope.cancel()
        nursery.start_soon(_dispatch, entry.dispatcher, req, outcome)
        await wait_all_tasks_blocked()
        _refuse(sidecar, left)
        while not outcome:
            # a sidecar that gets the repeat runs it
            if len(sidecar.submits) > 1:
                sidecar.send_chunk(sidecar.submits[-1], 0)
            await trio.sleep(0.01)
    assert isinstance(outcome[0], DuplicateError)
    assert outcome[0].ran is Ran.UNKNOWN
    assert len(sidecar.submits) == 1
