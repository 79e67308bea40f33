"""Groups of untrusted clients, each of one kind of behaviour.

Each function opens its connections from one loopback address, sends what its
kind sends, and returns the connections, which stay open. A connection that the
process closes or stops reading ends its client's part without an error.
"""

import asyncio
import contextlib

SEND_TIMEOUT_S = 1.5
PIECE = b'x' * 65536
# Twelve of them are far beyond the memory of the smallest VM.
LARGE_BYTES = 20_000_000
LARGE_CLIENTS = 12
CONNECTIONS = 600
POST = (
    b'POST /live/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n'
    b'Timeout-Ms: 20000\r\n'
)


async def _connect(address, source):
    """Return a connection, or None if the process does not accept it."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            return await asyncio.open_connection(
                address.host, address.port, local_addr=(source, 0)
            )
    return None


async def _send(connection, pieces):
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            for piece in pieces:
                connection[1].write(piece)
                await connection[1].drain()


async def _run(address, source, count, build_pieces):
    """Open connections and send the pieces of each at the same time."""
    opened = await asyncio.gather(
        *(_connect(address, source) for _ in range(count))
    )
    opened = [connection for connection in opened if connection]
    await asyncio.gather(
        *(
            _send(connection, build_pieces(number))
            for number, connection in enumerate(opened)
        )
    )
    return opened


def _split(size):
    for _ in range(size // len(PIECE)):
        yield PIECE


async def send_lengths(address, source):
    """Bodies with a length that stop short of their end."""

    def build(number):
        yield POST % (b'l%d' % number)
        yield b'Content-Length: %d\r\n\r\n' % LARGE_BYTES
        yield from _split(LARGE_BYTES - 65536)

    return await _run(address, source, LARGE_CLIENTS, build)


async def send_chunks(address, source):
    """Bodies in chunks that stop short of their end."""

    def build(number):
        yield POST % (b'c%d' % number)
        yield b'Transfer-Encoding: chunked\r\n\r\n'
        for piece in _split(LARGE_BYTES - 65536):
            yield b'%x\r\n%s\r\n' % (len(piece), piece)

    return await _run(address, source, LARGE_CLIENTS, build)


async def send_tiny_chunks(address, source):
    """Bodies in chunks of one byte, without an end."""

    def build(number):
        yield POST % (b't%d' % number)
        yield b'Transfer-Encoding: chunked\r\n\r\n'
        while True:
            yield b'1\r\nx\r\n' * 4096

    return await _run(address, source, 20, build)


async def send_extensions(address, source):
    """Chunk extensions and trailers without an end."""

    def build(number):
        yield POST % (b'e%d' % number)
        yield b'Transfer-Encoding: chunked\r\n\r\n'
        if number % 2:
            yield b'0\r\n'
        while True:
            if number % 2:
                yield b'X-Trailer: %s\r\n' % PIECE[:8000]
            else:
                yield b'1;a=%s\r\nx\r\n' % PIECE[:8000]

    return await _run(address, source, 20, build)


async def send_headers_slowly(address, source):
    """Header blocks that arrive a few bytes at a time."""
    opened = await _run(
        address, source, CONNECTIONS, lambda number: [POST % b'h']
    )
    for _ in range(4):
        for _, writer in opened:
            writer.write(b'X-Pad')
        await asyncio.sleep(0.2)
    return opened


async def keep_idle(address, source):
    """Connections that are kept after one request."""
    return await _run(
        address,
        source,
        CONNECTIONS,
        lambda number: [b'GET /none HTTP/1.1\r\nHost: shop.example\r\n\r\n'],
    )


async def open_many(address, source):
    """Thousands of connections that send nothing."""
    return await _run(address, source, 2000, lambda number: [])


async def pipeline(address, source):
    """Pipelined requests whose responses are not read."""
    request = (POST % b'p') + b'Content-Length: 4000\r\n\r\n' + PIECE[:4000]

    def build(number):
        while True:
            yield request * 20

    opened = await _run(address, source, 250, build)
    return opened


async def submit_tiny_items(address, source):
    """Submissions of very many tiny items."""
    items = b','.join(
        b'{"id":"%d","path":"/","body":"","headers":{"a":"%d"}}' % (n, n)
        for n in range(300_000)
    )
    body = b'{"items":[' + items + b']}'

    def build(number):
        yield b'POST /batch/s HTTP/1.1\r\nHost: shop.example\r\n'
        yield b'Request-Id: s%d\r\n' % number
        yield b'Content-Length: %d\r\n\r\n' % len(body)
        yield body

    return await _run(address, source, 3, build)


async def repeat_body(address, source):
    """The same large body again and again."""

    def build(number):
        while True:
            yield POST % b'same'
            yield b'Content-Length: %d\r\n\r\n' % (len(PIECE) * 128)
            yield from [PIECE] * 128

    return await _run(address, source, 8, build)


async def leave_responses(address, source):
    """Callers that do not read responses of two megabytes."""
    body = PIECE * 32

    def build(number):
        yield POST % (b'w%d' % number)
        yield b'Content-Length: %d\r\n\r\n' % len(body)
        yield body

    opened = []
    for _ in range(10):
        opened += await _run(address, source, 12, build)
    return opened


async def announce_frames(address, source):
    """Frames of 8 MB that are announced and not sent to their end."""

    def build(number):
        yield (8 << 20).to_bytes(4, 'big')
        yield from _split((8 << 20) - 65536)

    return await _run(address, source, 40, build)


GROUPS = {
    'bodies with a length': send_lengths,
    'bodies in chunks': send_chunks,
    'chunks of one byte': send_tiny_chunks,
    'extensions and trailers': send_extensions,
    'slow headers': send_headers_slowly,
    'idle connections': keep_idle,
    'thousands of connections': open_many,
    'pipelined requests': pipeline,
    'submissions of tiny items': submit_tiny_items,
    'the same body': repeat_body,
    'responses that are not read': leave_responses,
}
INNER_GROUPS = {
    'frames': announce_frames,
    'thousands of connections': open_many,
}
# Groups whose requests never become complete.
UNFINISHED = (send_lengths, send_chunks, send_headers_slowly, open_many)
