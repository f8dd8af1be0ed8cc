"""standins.plain_service: a plain service that counts each call."""

import collections
from typing import Any

import trio
from quart import request
from quart_trio import QuartTrio

from .faults import add_fault_injection

__all__ = ('make_plain_service',)


def make_plain_service() -> QuartTrio:
    """Return the HTTP application.

    ``GET /counts`` returns the number of calls by the request's body, or by
    its path if the body is empty. ``?sleep=`` delays a call by seconds.
    """
    app = QuartTrio('plain-service')
    add_fault_injection(app)
    counts: collections.Counter[str] = collections.Counter()

    @app.get('/counts')
    async def show_counts() -> dict[str, int]:
        return counts

    @app.route(
        '/<path:path>', methods=['GET', 'POST', 'PUT', 'PATCH', 'DELETE']
    )
    async def call(path: str) -> dict[str, Any]:
        body = str(await request.get_data(as_text=True))
        counts[body or path] += 1
        await trio.sleep(float(request.args.get('sleep', 0)))
        return {'path': path, 'received': body, 'calls': counts[body or path]}

    return app
