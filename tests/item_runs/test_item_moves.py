"""Each item is listed once all is calm, under drawn orders of events."""

import attrs
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from briarrill.transport.task_errors import unwrap_single_error
from tests.item_runs.item_moves import SLOTS, play

PROCESSES = 3
EXAMPLES = 60
MIN_EVENTS = 6
MAX_EVENTS = 20

# time for which disturbances last, more than an item may be left lying
LASTING_S = 10.0

numbers = st.integers(0, PROCESSES - 1)
pauses = st.sampled_from([0.0, 0.1, 0.3, 0.6, 1.2, 2.5, 5.0, 8.0])


@attrs.frozen
class Submit:
    job_id: str
    items: int

    async def __call__(self, world):
        await world.submit(self.job_id, self.items)


@attrs.frozen
class Wait:
    async def __call__(self, world):
        """Change nothing."""


@attrs.frozen
class SetLink:
    """Disturb the way of some processes to the key-value service."""

    numbers: frozenset
    state: str

    async def __call__(self, world):
        for number in self.numbers:
            world.process(number).link.disturb(self.state)


@attrs.frozen
class CutPeers:
    """Cut the link between two processes, in one direction or both."""

    number: int
    other: int
    is_one_way: bool

    async def __call__(self, world):
        one, other = world.name(self.number), world.name(self.other)
        world.cut.add((one, other))
        if not self.is_one_way:
            world.cut.add((other, one))


@attrs.frozen
class CutUpstream:
    number: int
    upstream: int

    async def __call__(self, world):
        name = world.upstream(self.upstream).registered.upstream_id
        world.cut.add((world.name(self.number), name))


@attrs.frozen
class MendLinks:
    async def __call__(self, world):
        world.cut.clear()
        world.lost_replies.clear()


@attrs.frozen
class LoseReplies:
    """The process hands items over, and its replies are lost."""

    number: int

    async def __call__(self, world):
        world.lost_replies.add(world.name(self.number))


@attrs.frozen
class Freeze:
    """A process stands still for some time."""

    number: int
    duration_s: float

    async def __call__(self, world):
        process = world.process(self.number)
        process.freeze()
        await trio.sleep(self.duration_s)
        process.thaw()


@attrs.frozen
class Restart:
    number: int
    keeps_disk: bool

    async def __call__(self, world):
        world.restart(self.number, keeps_disk=self.keeps_disk)


@attrs.frozen
class Drain:
    """A process stops as planned and another takes its place."""

    number: int
    grace_s: float

    async def __call__(self, world):
        process = world.process(self.number)
        process.is_leaving = True
        process.scheduler.is_draining = True
        await trio.sleep(self.grace_s)
        process.scheduler.preempt_all()
        await trio.sleep(1)
        world.restart(self.number, keeps_disk=True)


@attrs.frozen
class SetUpstream:
    number: int
    state: str

    async def __call__(self, world):
        world.upstream(self.number).state = self.state


@attrs.frozen
class SetOnline:
    number: int
    online: int

    async def __call__(self, world):
        world.upstream(self.number).online = self.online


@attrs.frozen
class ReplaceUpstream:
    number: int
    version: str

    async def __call__(self, world):
        world.replace_upstream(self.number, self.version)


@attrs.frozen
class ForgetUpstream:
    """A process does not know an upstream that the others know."""

    number: int
    upstream: int

    async def __call__(self, world):
        world.forget_upstream(self.number, self.upstream)


@attrs.frozen
class LoseRoutes:
    """A process has no routes, as one that started during an outage."""

    number: int

    async def __call__(self, world):
        world.process(self.number).has_routes = False


@attrs.frozen
class MakeImpossible:
    job_id: str
    item: int

    async def __call__(self, world):
        world.impossible.add(f'{self.job_id}-{self.item}')


job_ids = st.sampled_from(['j1', 'j2', 'j3'])
EVENTS = st.one_of(
    st.builds(Submit, job_ids, st.sampled_from([1, 3, 12])),
    st.builds(
        SetLink,
        st.frozensets(numbers, min_size=1),
        st.sampled_from(['ok', 'rejects', 'silent', 'late', 'lossy']),
    ),
    st.builds(CutPeers, numbers, numbers, st.booleans()),
    st.builds(CutUpstream, numbers, numbers),
    st.builds(MendLinks),
    st.builds(LoseReplies, numbers),
    st.builds(Freeze, numbers, st.sampled_from([0.6, 1.2, 2.5, 5.0])),
    st.builds(Restart, numbers, st.booleans()),
    st.builds(Drain, numbers, st.sampled_from([0.3, 2.0])),
    st.builds(
        SetUpstream,
        numbers,
        st.sampled_from(['ok', 'ok', 'mute', 'refuses', 'fails', 'gone']),
    ),
    st.builds(SetOnline, numbers, st.integers(0, SLOTS + 1)),
    st.builds(ReplaceUpstream, numbers, st.sampled_from(['v1', 'v2'])),
    st.builds(ForgetUpstream, numbers, numbers),
    st.builds(LoseRoutes, numbers),
    st.builds(MakeImpossible, job_ids, st.integers(0, 2)),
)
LASTING = st.lists(
    st.tuples(
        st.one_of(
            st.builds(
                SetLink,
                st.frozensets(numbers, min_size=1, max_size=2),
                st.sampled_from(['rejects', 'silent', 'late', 'lossy']),
            ),
            st.builds(CutPeers, numbers, numbers, st.booleans()),
            st.builds(CutUpstream, numbers, numbers),
            st.builds(LoseReplies, numbers),
            st.builds(Freeze, numbers, st.sampled_from([0.6, 1.2, 2.5])),
            st.builds(Restart, numbers, st.booleans()),
            st.builds(
                SetUpstream,
                numbers,
                st.sampled_from(['mute', 'refuses', 'gone']),
            ),
            st.builds(SetOnline, numbers, st.integers(0, SLOTS + 1)),
            st.builds(ReplaceUpstream, numbers, st.just('v2')),
            st.builds(ForgetUpstream, numbers, numbers),
            st.builds(LoseRoutes, numbers),
            st.builds(MakeImpossible, st.just('j1'), st.integers(0, 2)),
        ),
        st.sampled_from([0.0, 0.1, 0.3, 0.6]),
    ),
    min_size=1,
    max_size=6,
)
ORDERS = st.lists(
    st.tuples(EVENTS, pauses), min_size=MIN_EVENTS, max_size=MAX_EVENTS
)
FIRST_JOBS = st.builds(Submit, st.just('j1'), st.sampled_from([1, 3, 12]))


def run(events, upstream_count=PROCESSES):
    """Play events on virtual time."""
    clock = MockClock(autojump_threshold=0)
    with unwrap_single_error():
        return trio.run(play, events, PROCESSES, upstream_count, clock=clock)


@settings(max_examples=EXAMPLES)
@given(FIRST_JOBS, ORDERS, st.sampled_from([1, 3]))
def test_no_item_is_left_lying(first, events, upstream_count):
    run([(first, 0.3), *events], upstream_count)


@settings(max_examples=EXAMPLES)
@given(FIRST_JOBS, LASTING, st.sampled_from([1, 3]))
def test_no_item_is_left_lying_while_disturbances_last(
    first, events, upstream_count
):
    """They come at almost the same time, and nothing changes then."""
    run([(first, 0.3), *events, (Wait(), LASTING_S)], upstream_count)


def test_items_of_a_calm_world_run_once():
    world = run([(Submit('j1', 12), 1.0)])
    assert world.runs == 12


def test_item_leaves_a_process_that_cannot_reach_its_upstream():
    """It owns the only upstream, and others reach that."""
    run([(Submit('j1', 1), 0.3), (CutUpstream(0, 0), 0), (Wait(), 10.0)], 1)


def test_item_runs_though_the_owner_does_not_know_the_only_upstream():
    """Guards against an upstream that all processes leave to each other."""
    run([(ForgetUpstream(0, 0), 0.3), (Submit('j1', 3), 10.0)], 1)


def test_items_run_where_processes_know_different_upstreams():
    """The upstreams that two know are full, the other one has no owner."""
    run(
        [
            (ForgetUpstream(0, 0), 0),
            (SetOnline(1, SLOTS), 0),
            (SetOnline(2, SLOTS), 0.3),
            (Submit('j1', 3), 10.0),
        ]
    )


def test_item_runs_though_the_owner_of_the_only_upstream_has_no_routes():
    run([(LoseRoutes(0), 0.3), (Submit('j1', 3), 10.0)], 1)


def test_outputs_that_were_whole_before_a_restart_are_listed_in_full():
    """The only version has left when the results can be written."""
    everyone = frozenset(range(PROCESSES))
    run(
        [
            (Submit('j1', 3), 0.3),
            (SetLink(everyone, 'silent'), 0.8),
            (ReplaceUpstream(0, 'v2'), 0.1),
            *((Restart(number, True), 0.0) for number in everyone),
            (SetLink(everyone, 'ok'), 3.0),
        ],
        1,
    )
