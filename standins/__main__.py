"""standins.__main__: runs one stand-in.

Usage:
  standins key-value HOST PORT
  standins instance-list HOST PORT [--lag=SECONDS]
  standins engine HOST PORT [--models=NAMES] [--token-ms=MS] [--seed=N]
  standins plain-service HOST PORT
  standins weight-store HOST PORT [--rate=N]

Options:
  --lag=SECONDS   How late the list shows a change [default: 0].
  --models=NAMES  Models that are loaded [default: clause-drafter].
  --token-ms=MS   Time between two tokens of one stream [default: 5].
  --rate=N        Downloads a second [default: 1].
  --seed=N        Seed of the produced text [default: 1].
"""

import signal
from collections.abc import Callable
from typing import Any

import trio
from docopt import docopt
from quart_trio import QuartTrio

from briarrill.transport.http_server import HttpTimeouts, serve_app

from .engine import make_engine
from .instance_list import make_instance_list
from .key_value import make_key_value
from .plain_service import make_plain_service
from .weight_store import make_weight_store

Arguments = dict[str, Any]

APP_FACTORIES: dict[str, Callable[[Arguments], QuartTrio]] = {
    'key-value': lambda _: make_key_value(),
    'instance-list': lambda args: make_instance_list(float(args['--lag'])),
    'engine': lambda args: make_engine(
        models=tuple(args['--models'].split(',')),
        token_s=float(args['--token-ms']) / 1000,
        seed=int(args['--seed']),
    ),
    'plain-service': lambda _: make_plain_service(),
    'weight-store': lambda args: make_weight_store(float(args['--rate'])),
}


async def _wait_stop_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(aiter(signals))


async def _serve(app: QuartTrio, host: str, port: int) -> None:
    timeouts = HttpTimeouts(shutdown_grace_s=0.5)
    await serve_app(app, host, port, _wait_stop_signal, timeouts)


def main() -> None:
    """Run the stand-in that the command line names."""
    arguments: Arguments = docopt(__doc__)
    kind = next(name for name in APP_FACTORIES if arguments[name])
    app = APP_FACTORIES[kind](arguments)
    trio.run(_serve, app, arguments['HOST'], int(arguments['PORT']))


if __name__ == '__main__':
    main()
