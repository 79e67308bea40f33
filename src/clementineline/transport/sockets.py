"""Options of TCP sockets that find a silent peer."""

import socket

__all__ = ['set_liveness_options']

# Sent after a second of silence, and again a second later: a connection that
# something in between has forgotten is dropped within three seconds, the
# shortest window in which a VM counts as undisturbed again.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2500


def set_liveness_options(transport):
    """Let the kernel drop the transport's connection when its peer is gone.

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
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
