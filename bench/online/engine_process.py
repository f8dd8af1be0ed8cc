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
    """Run an engine process; yield its base URL once it responds."""
    command = [sys.executable, '-m', 'standins', 'engine', HOST, str(PORT)]
    engine = subprocess.Popen([*command, f'--token-ms={TOKEN_MS}'])
    url = f'http://{HOST}:{PORT}'
    try:
        _wait_responding(url)
        yield url
    finally:
        engine.terminate()
        engine.wait()


def _wait_responding(url: str) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            httpx.get(f'{url}/counts')
        except httpx.ConnectError:
            time.sleep(0.1)
        else:
            return
    raise TimeoutError(f'engine at {url} did not respond')
