"""Promises to callers of jobs under drawn orders of events.

Two to three processes, the service and the configuration act in any order;
what a caller could read is checked after each event and once all is calm.
"""

import attrs
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from briarrill.state.keys import ROOT_PREFIX
from briarrill.transport.task_errors import unwrap_single_error
from tests.item_runs.result_orders import ROUTE_SETS, play

PROCESSES = 3
EXAMPLES = 150
MIN_EVENTS = 12
BRIEF_S = 0.05
MAX_EVENTS = 30

numbers = st.integers(0, PROCESSES - 1)
job_ids = st.sampled_from(['j1', 'j2'])
pauses = st.sampled_from([0.0, 0.05, 0.3, 1.0, 2.0, 4.0])


@attrs.frozen
class Submit:
    number: int
    job_id: str
    items: int

    async def __call__(self, world):
        with trio.move_on_after(4):
            await world.submit(self.number, self.job_id, self.items)


@attrs.frozen
class Read:
    number: int
    job_id: str
    position: int

    async def __call__(self, world):
        with trio.move_on_after(3):
            await world.read(self.number, self.job_id, self.position)


@attrs.frozen
class EndJob:
    number: int
    job_id: str

    async def __call__(self, world):
        with trio.move_on_after(4):
            await world.end(self.number, self.job_id)


@attrs.frozen
class EndItems:
    """Up to ``count`` items end at a process."""

    number: int
    index: int
    count: int
    outcome: str

    async def __call__(self, world):
        for _ in range(self.count):
            world.end_item(self.number, self.index, self.outcome)


@attrs.frozen
class HandOver:
    number: int
    other: int

    async def __call__(self, world):
        world.hand_over(self.number, self.other)


@attrs.frozen
class SetLink:
    """Disturb the way of some processes to the service, or all of them."""

    numbers: frozenset
    state: str

    async def __call__(self, world):
        for number in self.numbers:
            world.processes[number].link.disturb(self.state)


@attrs.frozen
class StallWatches:
    number: int
    prefixes: frozenset

    async def __call__(self, world):
        world.processes[self.number].link.stall(self.prefixes)


@attrs.frozen
class Isolate:
    """A process is cut off as items end, and hands the whole ones over."""

    number: int
    other: int
    state: str
    outcomes: tuple
    before_s: float
    after_s: float

    async def __call__(self, world):
        link = world.processes[self.number].link
        link.disturb(self.state)
        for outcome in self.outcomes:
            world.end_item(self.number, 0, outcome)
        await trio.sleep(self.before_s)
        world.hand_over(self.number, self.other)
        await trio.sleep(self.after_s)
        link.disturb('ok')


@attrs.frozen
class AddRouteUnseen:
    """The route is added while a process's watch of routes is silent."""

    number: int

    async def __call__(self, world):
        world.change_routes('removed')
        await trio.sleep(BRIEF_S)
        world.processes[self.number].link.stall(['op/'])
        world.change_routes('batch')
        await trio.sleep(BRIEF_S)


@attrs.frozen
class Restart:
    number: int

    async def __call__(self, world):
        world.restart(self.number)


@attrs.frozen
class ChangeRoutes:
    routes: str

    async def __call__(self, world):
        world.change_routes(self.routes)


ends_of_items = st.builds(
    EndItems,
    numbers,
    st.integers(0, 5),
    st.sampled_from([1, 2, 20]),
    st.sampled_from(['whole', 'whole', 'impossible', 'part']),
)
links = st.builds(
    SetLink,
    st.frozensets(numbers, min_size=1),
    st.sampled_from(['ok', 'rejects', 'silent', 'late', 'lossy']),
)
isolations = st.builds(
    Isolate,
    numbers,
    numbers,
    st.sampled_from(['silent', 'silent', 'late', 'lossy', 'rejects']),
    st.sampled_from(
        [('whole', 'impossible'), ('whole', 'whole'), ('whole',), ()]
    ),
    st.sampled_from([0.3, 0.6, 1.2]),
    st.sampled_from([0.1, 0.6, 1.2]),
)
changes_of_routes = st.builds(ChangeRoutes, st.sampled_from(list(ROUTE_SETS)))
reads = st.builds(Read, numbers, job_ids, st.integers(0, 3))

# what takes part in most faults is drawn more often
EVENTS = st.one_of(
    ends_of_items,
    ends_of_items,
    ends_of_items,
    links,
    links,
    isolations,
    isolations,
    st.builds(AddRouteUnseen, numbers),
    changes_of_routes,
    reads,
    reads,
    st.builds(Submit, numbers, job_ids, st.sampled_from([2, 6, 24])),
    st.builds(EndJob, numbers, job_ids),
    st.builds(HandOver, numbers, numbers),
    st.builds(
        StallWatches,
        numbers,
        st.frozensets(st.sampled_from(['op/', ROOT_PREFIX])),
    ),
    st.builds(Restart, numbers),
)
ORDERS = st.lists(
    st.tuples(EVENTS, pauses), min_size=MIN_EVENTS, max_size=MAX_EVENTS
)
FIRST_JOBS = st.builds(
    Submit, numbers, st.just('j1'), st.sampled_from([2, 6, 24])
)


def run(events):
    """Play events on virtual time."""
    clock = MockClock(autojump_threshold=0)
    with unwrap_single_error():
        trio.run(play, events, PROCESSES, clock=clock)


@settings(max_examples=EXAMPLES)
@given(FIRST_JOBS, ORDERS)
def test_promises_hold_under_any_order_of_events(first, events):
    run([(first, 1.0), *events])


@pytest.mark.parametrize('state', ['silent', 'late', 'lossy', 'rejects'])
@pytest.mark.parametrize('outcomes', [('whole', 'impossible'), ('whole',) * 2])
@pytest.mark.parametrize('before_s', [0.3, 0.6, 1.2])
@pytest.mark.parametrize('after_s', [0.1, 0.6, 1.2])
def test_items_that_end_as_a_process_is_cut_off(
    state, outcomes, before_s, after_s
):
    """All times of an isolation, which drawn orders rarely hit."""
    isolated = Isolate(0, 1, state, outcomes, before_s, after_s)
    run([(Submit(0, 'j1', 6), 1.0), (isolated, 4.0)])
