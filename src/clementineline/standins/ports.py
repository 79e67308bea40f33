"""Free ports of the loopback address."""

import random
import socket

__all__ = ['find_free_ports']

FIRST_PORT = 15_000
LAST_PORT = 32_000


def find_free_ports(count):
    """Return free TCP ports of the loopback address.

    They lie below the range that outgoing connections use, so that none of
    these takes one before its process listens.
    """
    draw = random.SystemRandom()
    ports = set()
    while len(ports) < count:
        port = draw.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        ports.add(port)
    return list(ports)
