"""TCP socket options that detect a dead peer."""

import socket

__all__ = ['set_liveness_options', 'set_unacknowledged_timeout']

# Probes are sent one and two seconds after the last data. If the network path
# has lost the connection's state, such as in a NAT device, the connection is
# dropped within three seconds: the shortest time without faults after which a
# VM counts as undisturbed again.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2500


def set_liveness_options(transport):
    """Let the kernel drop the connection when the peer does not respond.

    :param transport: an asyncio transport
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family == socket.AF_UNIX:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    set_unacknowledged_timeout(transport, UNACKNOWLEDGED_TIMEOUT_MS)


def set_unacknowledged_timeout(transport, timeout_ms):
    """Set when the kernel drops a connection whose peer takes nothing.

    The time also runs while a living peer has no room for more bytes.

    :param transport: an asyncio transport
    :param timeout_ms: time since the peer last took bytes, in milliseconds
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family == socket.AF_UNIX:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
