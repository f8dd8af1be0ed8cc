"""standins.weight_store: a rate-limited store of model weights."""

import time
from typing import Any

import trio
from quart_trio import QuartTrio

from .faults import add_fault_injection

__all__ = ('make_weight_store',)


def make_weight_store(rate: float) -> QuartTrio:
    """Return the HTTP application.

    :param rate: downloads per second; further ones wait in order.
    """
    app = QuartTrio('weight-store')
    add_fault_injection(app)
    next_free_at = [time.monotonic()]

    @app.get('/weights/<name>')
    async def download(name: str) -> dict[str, Any]:
        now = time.monotonic()
        starts_at = max(now, next_free_at[0])
        next_free_at[0] = starts_at + 1 / rate
        await trio.sleep(starts_at - now + 1 / rate)
        return {'name': name, 'waited_s': starts_at - now}

    return app
