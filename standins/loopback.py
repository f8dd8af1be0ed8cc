"""standins.loopback: loopback networks that no other run on a machine uses."""

import socket

__all__ = ('NETWORK_NUMBERS', 'claim_network_number')

# second numbers of the loopback addresses of the tests, 127.<number>.0.0/16
NETWORK_NUMBERS = range(100, 250)

# a run claims a second number by listening here for as long as it lasts
CLAIM_ADDRESS = '127.{}.255.254'
CLAIM_PORT = 8079


def claim_network_number() -> tuple[int, socket.socket]:
    """Return a second number that no other run on this machine uses.

    Other runs of the tests on the same machine would answer otherwise.

    :returns: the number, and the socket that holds it until it is closed.
    """
    for number in NETWORK_NUMBERS:
        claim = socket.socket()
        try:
            claim.bind((CLAIM_ADDRESS.format(number), CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        claim.listen()
        return number, claim
    raise RuntimeError('all loopback networks are in use')
