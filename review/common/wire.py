"""A small HTTP/1.1 server and client, for stand-ins of the review."""

import asyncio

__all__ = ['Request', 'call', 'read_request', 'write_response']


class Request:
    """A request as it was read from a connection.

    :ivar headers: dict from the lower-case name to the value, both str
    """

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self):
        """The value of ``Request-Id``."""
        return self.headers.get('request-id', '')


def _parse_head(data):
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def _read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_request(reader):
    """Return the next :class:`Request`; None at the end of the connection."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
        line, headers = _parse_head(data)
        method, target, _ = line.split(' ', 2)
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def build_response(status, headers=(), body=b''):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {value}' for name, value in headers)
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def write_response(writer, status, headers=(), body=b''):
    """Send a response with a length."""
    writer.write(build_response(status, headers, body))


async def call(address, method, target, headers, body=b'', timeout_s=5.0):
    """Send one request on a new connection.

    :param address: ``HOST:PORT``
    :param headers: list of pairs of str
    :returns: ``(status, headers, body)``; status 0 if there was no answer
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {target} HTTP/1.1']
            lines.extend(f'{name}: {value}' for name, value in headers)
            lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            data = await reader.readuntil(b'\r\n\r\n')
            line, found = _parse_head(data)
            status = int(line.split(' ')[1])
            return status, found, await _read_body(reader, found)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()
