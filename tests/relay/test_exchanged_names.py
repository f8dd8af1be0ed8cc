"""Online requests after two routes have exchanged their names."""

import attrs

from briarrill.coordination.routes import RouteTable
from standins.platform_engine import (
    StandinEngine,
    reject_unexecuted,
    stream_events,
)
from tests.relay.front_end_setup import IDEMPOTENT, STREAM, run_front_end


def make_routes(route):
    """Return two routes like another one, and a table of their new names."""
    one, two = (
        attrs.evolve(route, name=name, prefix=f'/{name}/')
        for name in ('one', 'two')
    )
    exchanged = (
        attrs.evolve(one, name=two.name),
        attrs.evolve(two, name=one.name),
    )
    return (one, two), RouteTable(2, exchanged)


async def test_route_does_not_pay_for_retries_of_the_former_one():
    """Guards against budgets that are kept by the names of routes."""
    engines = [StandinEngine(reject_unexecuted()) for _ in range(2)]
    routes, exchanged = make_routes(IDEMPOTENT)
    async with run_front_end(routes, *engines) as setup:
        setup.front.forwarder._budgets.burst = 1
        await setup.send_request('/one/x')
        assert sum(len(engine.requests) for engine in engines) == 2
        setup.front.routes = lambda: exchanged
        await setup.send_request('/two/x')
        assert sum(len(engine.requests) for engine in engines) == 4


async def test_times_of_responses_are_kept_by_host_and_prefix():
    """Guards against estimates of one route that are used for another."""
    engine = StandinEngine(stream_events(3, pause_s=0.01))
    routes, exchanged = make_routes(STREAM)
    async with run_front_end(routes, engine) as setup:
        for path in ('/one/x', '/two/x'):
            await setup.send_request(path)
        setup.front.routes = lambda: exchanged
        await setup.send_request('/one/x')
        kinds = setup.load.knowledge.speeds._kinds
    selectors = {kind[1] for _, kind in kinds}
    assert selectors == {route.selector for route in routes}
