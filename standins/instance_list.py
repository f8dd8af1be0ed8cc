"""standins.instance_list: the platform's list of instances, with a lag."""

import json
import time
from typing import Any

from quart import Response, request
from quart_trio import QuartTrio

from .faults import add_fault_switches

__all__ = ('make_instance_list',)

Instances = dict[str, Any]


def make_instance_list(lag_s: float) -> QuartTrio:
    """Return the application.

    :param lag_s: seconds until a change is shown.
    """
    app = QuartTrio('instance-list')
    add_fault_switches(app)
    versions: list[tuple[float, Instances]] = [(0, {})]

    def change(instances: Instances) -> Response:
        versions.append((time.monotonic() + lag_s, instances))
        return Response('ok\n')

    @app.get('/instances')
    async def show() -> Response:
        now = time.monotonic()
        while len(versions) > 1 and versions[1][0] <= now:
            versions.pop(0)
        reply = _json(list(versions[0][1].values()))
        await reply.add_etag()
        await reply.make_conditional(request)
        return reply

    @app.put('/instances/<name>')
    async def put(name: str) -> Response:
        instance = await request.get_json()
        return change({**versions[-1][1], name: instance})

    @app.delete('/instances/<name>')
    async def delete(name: str) -> Response:
        kept = dict(versions[-1][1])
        kept.pop(name, None)
        return change(kept)

    return app


def _json(body: Any) -> Response:
    return Response(json.dumps(body), content_type='application/json')
