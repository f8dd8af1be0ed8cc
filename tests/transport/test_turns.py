"""Turns of other tasks while received bytes are parsed."""

import trio

from briarrill.transport.turns import MAX_EVENTS_PER_TURN, Turns


async def test_other_tasks_have_a_turn_after_so_many_events():
    turns = Turns()
    events = []

    async def parse():
        for number in range(3 * MAX_EVENTS_PER_TURN):
            await turns.before_event()
            events.append(number)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(parse)
        await trio.lowlevel.checkpoint()
        await trio.lowlevel.checkpoint()
        assert len(events) < 3 * MAX_EVENTS_PER_TURN
    assert len(events) == 3 * MAX_EVENTS_PER_TURN


async def test_time_limit_ends_the_work_at_the_next_event():
    turns = Turns()
    with trio.move_on_after(0) as scope:
        await turns.before_event()
    assert scope.cancelled_caught
