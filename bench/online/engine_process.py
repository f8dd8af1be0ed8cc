"""bench.online.engine_process: the stand-in engine in its own process."""

import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

import httpx

__all__ = ('open_engine',)

HOST = '127.129.201.1'
PORT = 9100
TOKEN_MS = 20
START_TIMEOUT_S = 20.0


@contextmanager
def open_engine() -> Iterator[str]:
    """Start an engine, return its base URL once it answers."""
    command = [sys.executable, '-m', 'standins', 'engine', HOST, str(PORT)]
    engine = subprocess.Popen([*command, f'--token-ms={TOKEN_MS}'])
    url = f'http://{HOST}:{PORT}'
    try:
        _wait_answering(url)
        yield url
    finally:
        engine.terminate()
        engine.wait()


def _wait_answering(url: str) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            httpx.get(f'{url}/counts')
        except httpx.ConnectError:
            time.sleep(0.1)
        else:
            return
    raise TimeoutError('the engine did not start')
