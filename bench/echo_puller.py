"""bench.echo_puller: a sidecar whose items cost nothing.

Usage: python -m bench.echo_puller NAME HOSTS ROOM

Answers each item at once. Prints one JSON line on SIGTERM: the items and,
for each epoch, when its first item came (monotonic seconds).
"""

import json
import signal
import sys
import time

import trio

from briarrill.errors import PeerUnreachableError
from briarrill.protocol.codec import decode, encode
from briarrill.protocol.messages import Assign, ItemOutcome, Pull
from briarrill.result_codes import Ran, ResultCode
from briarrill.state.settings import PortSettings
from briarrill.transport.zmq_socket import open_dealer

MODEL = 'clause-drafter'
PULL_INTERVAL_S = 0.1
RESPONSE_BODY = json.dumps(
    {
        'id': 'echo',
        'object': 'chat.completion',
        'choices': [{'index': 0, 'message': {'content': 'word ' * 40}}],
    }
).encode()


class EchoPuller:
    """Pulls items from batch processes and completes them at once.

    :param wanted: items that each pull requests.
    """

    def __init__(self, name, wanted):
        self.name = name
        self.wanted = wanted
        self.items = 0
        self.first_at = {}

    async def serve_host(self, host):
        """Pull and complete the items of one batch process."""
        with open_dealer(host, PortSettings().batch_items) as socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_pulls, socket)
                while True:
                    message = decode(await socket.receive())
                    if isinstance(message, Assign):
                        self._complete_items(socket, message)

    async def _send_pulls(self, socket):
        while True:
            self._send(socket, self._make_pull())
            await trio.sleep(PULL_INTERVAL_S)

    def _make_pull(self):
        return Pull('', self.name, self.wanted, (MODEL,))

    def _complete_items(self, socket, assign):
        for item in assign.batch_items:
            self.items += 1
            self.first_at.setdefault(item.epoch, time.monotonic())
            outcome = ItemOutcome(
                job=item.job,
                index=item.index,
                epoch=item.epoch,
                code=ResultCode.OK,
                ran=Ran.YES,
                attempt=item.attempt,
                body=RESPONSE_BODY,
            )
            self._send(socket, outcome)
        self._send(socket, self._make_pull())

    def _send(self, socket, message):
        try:
            socket.send(encode(message))
        except PeerUnreachableError:
            return


async def _wait_sigterm():
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        await anext(aiter(signals))


async def run(name, hosts, wanted):
    """Pull from all hosts until SIGTERM, then print the report."""
    puller = EchoPuller(name, wanted)
    async with trio.open_nursery() as nursery:
        for host in hosts.split(','):
            nursery.start_soon(puller.serve_host, host)
        await _wait_sigterm()
        nursery.cancel_scope.cancel()
    report = {'items': puller.items, 'first_at': puller.first_at}
    sys.stdout.write(f'{json.dumps(report)}\n')


if __name__ == '__main__':
    _, own_name, all_hosts, wanted_items = sys.argv
    trio.run(run, own_name, all_hosts, int(wanted_items))
