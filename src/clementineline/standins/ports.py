"""Search for free TCP ports of the loopback address."""

import collections
import random
import socket

__all__ = ['find_free_ports']

FIRST_PORT = 15_000
LAST_PORT = 32_000
# Ports that were given out last and may not be listened on yet.
_given = collections.deque(maxlen=2_000)


def find_free_ports(count):
    """Return free TCP ports of the loopback address.

    The ports lie below the range of ephemeral ports: no outgoing connection
    can take one before the process that is given the port listens on it. Nor
    does a call return a port that an earlier one returned a short time ago.
    """
    generator = random.SystemRandom()
    ports = set()
    while len(ports) < count:
        port = generator.randrange(FIRST_PORT, LAST_PORT)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        ports.add(port)
        _given.append(port)
    return list(ports)
