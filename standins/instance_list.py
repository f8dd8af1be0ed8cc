"""standins.instance_list: the platform's list of instances, with a lag."""

import json
import time
from typing import Any

from quart import Response, request
from quart_trio import QuartTrio

from .faults import add_fault_injection

__all__ = ('make_instance_list',)

Instances = dict[str, Any]


def make_instance_list(lag_s: float) -> QuartTrio:
    """Return the HTTP application, with an empty list.

    :param lag_s: seconds from a change until ``GET /instances`` shows it.
    """
    app = QuartTrio('instance-list')
    add_fault_injection(app)
    # listed instances with the time from which they are shown
    snapshots: list[tuple[float, Instances]] = [(0, {})]

    def schedule_change(instances: Instances) -> Response:
        snapshots.append((time.monotonic() + lag_s, instances))
        return Response('ok\n')

    @app.get('/instances')
    async def show() -> Response:
        now = time.monotonic()
        while len(snapshots) > 1 and snapshots[1][0] <= now:
            snapshots.pop(0)
        reply = _json_response(list(snapshots[0][1].values()))
        await reply.add_etag()
        await reply.make_conditional(request)
        return reply

    @app.put('/instances/<name>')
    async def put(name: str) -> Response:
        instance = await request.get_json()
        return schedule_change({**snapshots[-1][1], name: instance})

    @app.delete('/instances/<name>')
    async def delete(name: str) -> Response:
        remaining = dict(snapshots[-1][1])
        remaining.pop(name, None)
        return schedule_change(remaining)

    return app


def _json_response(body: Any) -> Response:
    return Response(json.dumps(body), content_type='application/json')
