"""Search for free TCP ports of the loopback address."""

import random
import socket

__all__ = ['find_free_ports']

FIRST_PORT = 15_000
LAST_PORT = 32_000


def find_free_ports(count):
    """Return free TCP ports of the loopback address.

    The ports lie below the range of ephemeral ports: no outgoing connection
    can take one before the process that is given the port listens on it.
    """
    generator = random.SystemRandom()
    ports = set()
    while len(ports) < count:
        port = generator.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        ports.add(port)
    return list(ports)
