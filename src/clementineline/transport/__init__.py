"""TCP transport: framed streams, HTTP servers and HTTP clients."""

from clementineline.transport.frames import Address
from clementineline.transport.frames import FrameStream
from clementineline.transport.frames import open_stream
from clementineline.transport.frames import parse_address
from clementineline.transport.frames import start_server

__all__ = [
    'Address',
    'FrameStream',
    'open_stream',
    'parse_address',
    'start_server',
]
