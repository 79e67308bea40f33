import asyncio
import socket
import struct
import sys

import pytest

from clementineline import errors
from clementineline.standins import ports
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing


async def serve_bytes(data, close='orderly', delay_s=0.0):
    """Start a server that responds to each connection with fixed bytes.

    :param close: how the server closes the connection: ``orderly``, ``reset``
        or ``none``
    :returns: ``(server, address)``
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(data)
        await writer.drain()
        if close == 'orderly':
            writer.close()
        elif close == 'reset':
            await asyncio.sleep(0.02)
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    return server, frames.Address('127.0.0.1', port)


async def exchange(address):
    client = await outgoing.connect(address, 1.0)
    client.send_request(
        http.Head(b'GET', b'/x', ((b'Host', b'h.example'),)), b''
    )
    response = await client.receive_head()
    return client, response, await client.receive_body(1000)


async def serve_requests(handle, log, **limits):
    """Start a server; return ``(server, address)``."""
    port = ports.find_free_ports(1)[0]
    server = http.Server(handle, http.ServerLimits(**limits), log)
    address = frames.Address('127.0.0.1', port)
    await server.start(address)
    return server, address


async def send_raw(address, data):
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    response = await reader.read(65536)
    writer.close()
    return response


class TestClient:
    """A truncated response must not be taken for a complete one.

    A connection on which unexpected bytes have arrived must not be reused:
    they would be read as the response to the next request.
    """

    async def test_complete_response_leaves_the_connection_reusable(self):
        _, address = await serve_bytes(
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok', close='none'
        )
        client, response, body = await exchange(address)
        assert (response.status_code, body) == (200, b'ok')
        assert client.reusable

    async def test_extra_bytes_prevent_reuse_of_the_connection(self):
        _, address = await serve_bytes(
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK',
            close='none',
        )
        client, _, body = await exchange(address)
        assert body == b'ok'
        assert not client.reusable

    async def test_truncated_response_is_an_error(self):
        _, address = await serve_bytes(
            b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok'
        )
        with pytest.raises(errors.ProtocolError):
            await exchange(address)

    async def test_unframed_response_is_complete_after_an_orderly_close(self):
        _, address = await serve_bytes(b'HTTP/1.1 200 OK\r\n\r\nall of it')
        _, _, body = await exchange(address)
        assert body == b'all of it'

    async def test_unframed_response_that_is_reset_is_an_error(self):
        _, address = await serve_bytes(
            b'HTTP/1.1 200 OK\r\n\r\npart', close='reset'
        )
        with pytest.raises(errors.ProtocolError):
            await exchange(address)

    async def test_invalid_response_is_an_error(self):
        _, address = await serve_bytes(b'\x00\x01garbage\r\n\r\n')
        with pytest.raises(errors.ProtocolError):
            await exchange(address)


class TestServer:
    """Requests arrive unchanged; ambiguous or too large ones are refused.

    With an ambiguous length, part of a body could be read as the next request.
    """

    @pytest.mark.parametrize(
        'framing',
        [
            b'Content-Length: 3\r\nContent-Length: 4\r\n',
            b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
        ],
    )
    async def test_ambiguous_framing_is_refused(self, log, framing):
        handled = []

        async def handle(incoming):
            handled.append(incoming)
            incoming.respond(200)

        _, address = await serve_requests(handle, log)
        response = await send_raw(
            address,
            b'POST /x HTTP/1.1\r\nHost: h\r\n' + framing + b'\r\nabcd',
        )
        assert response.startswith(b'HTTP/1.1 400')
        assert handled == []

    async def test_target_and_chunked_body_arrive_byte_for_byte(self, log):
        handled = []

        async def handle(incoming):
            handled.append((incoming.head.target, incoming.body))
            incoming.respond(200, (), b'done')

        _, address = await serve_requests(handle, log)
        response = await send_raw(
            address,
            b'POST /a%2Fb//c?d=%20 HTTP/1.1\r\nHost: h\r\n'
            b'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
            b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
        )
        assert response.endswith(b'done')
        assert handled == [(b'/a%2Fb//c?d=%20', b'abcde')]

    async def test_body_over_the_limit_is_413(self, log):
        async def handle(incoming):
            incoming.respond(200)

        _, address = await serve_requests(handle, log, body_bytes=3)
        response = await send_raw(
            address,
            b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd',
        )
        assert response.startswith(b'HTTP/1.1 413')

    async def test_disconnect_of_the_caller_cancels_its_request(self, log):
        cancelled = asyncio.Event()
        started = asyncio.Event()

        async def handle(incoming):
            started.set()
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        _, address = await serve_requests(handle, log)
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        await started.wait()
        writer.close()
        async with asyncio.timeout(5):
            await cancelled.wait()

    async def test_draining_server_responds_and_closes(self, log):
        release = asyncio.Event()
        started = asyncio.Event()

        async def handle(incoming):
            started.set()
            await release.wait()
            incoming.respond(200, (), b'whole')

        server, address = await serve_requests(handle, log)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        await started.wait()
        server.stop()
        draining = asyncio.create_task(server.drain(5.0))
        await asyncio.sleep(0)
        release.set()
        response = await reader.read(65536)
        await draining
        assert b'Connection: close' in response
        assert response.endswith(b'whole')


class TestUntrustedClients:
    """A refused request has not been handled; others go on."""

    HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n'

    async def read_status(self, reader):
        async with asyncio.timeout(5):
            return (await reader.read(65536))[9:12]

    async def test_body_that_is_not_complete_in_time_is_408(self, log):
        """Bytes that arrive now and then kept a body open without end."""
        handled = []
        server, address = await serve_requests(handled.append, log)
        server.get_upload_s = lambda head: 0.3
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(self.HEAD)
        status = asyncio.create_task(self.read_status(reader))
        for _ in range(40):
            writer.write(b'x')
            await asyncio.sleep(0.02)
        assert await status == b'408'
        assert handled == []
        writer.close()

    async def test_headers_that_arrive_slowly_are_cut_off(self, log):
        """Each byte began the time for the headers anew."""
        _, address = await serve_requests(None, log, header_s=0.3)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        closed = asyncio.create_task(self.read_status(reader))
        for _ in range(40):
            writer.write(b'G')
            await asyncio.sleep(0.02)
        assert closed.done()
        writer.close()

    async def test_largest_unfinished_body_is_refused(self, log):
        """A small request has room, also if large ones use the memory."""
        handled = []

        async def handle(incoming):
            handled.append(incoming.head.method)
            incoming.respond(200)

        server, address = await serve_requests(handle, log)
        server.budget.limit_bytes = 300_000
        opened = []
        for _ in range(2):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(self.HEAD + b'x' * 150_000)
            await asyncio.sleep(0.1)
            opened.append((reader, writer))
        response = await send_raw(
            address, b'GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        )
        assert response.startswith(b'HTTP/1.1 200')
        assert handled == [b'GET']
        assert await self.read_status(opened[0][0]) == b'503'
        opened[1][1].write(b'x' * 50_000)
        assert await self.read_status(opened[1][0]) == b'200'
        for _, writer in opened:
            writer.close()

    async def test_age_of_the_connection_does_not_end_a_request(self, log):
        """A request on an old connection ended for a larger stalled one."""

        async def handle(incoming):
            incoming.respond(200)

        server, address = await serve_requests(handle, log)
        server.budget.limit_bytes = 300_000
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        assert await self.read_status(reader) == b'200'
        await asyncio.sleep(1.5)
        stalled_reader, stalled_writer = await asyncio.open_connection(
            address.host, address.port
        )
        stalled_writer.write(self.HEAD + b'x' * 180_000)
        await asyncio.sleep(0.1)
        writer.write(self.HEAD + b'x' * 120_000)
        assert await self.read_status(stalled_reader) == b'503'
        writer.write(b'x' * 80_000)
        assert await self.read_status(reader) == b'200'
        stalled_writer.close()
        writer.close()

    async def test_body_that_is_dropped_is_freed(self, log):
        """A copy that the connection kept would not be counted."""
        sizes = []

        async def handle(incoming):
            sizes.append(len(incoming.body))
            references = sys.getrefcount(incoming.body)
            incoming.drop_body()
            # The request's attribute and the argument of getrefcount().
            sizes.append(references - 2)
            incoming.respond(200)

        _, address = await serve_requests(handle, log)
        head = self.HEAD.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
        await send_raw(address, head + b'x' * 200_000)
        assert sizes == [200_000, 0]

    async def test_large_response_arrives_whole_at_a_slow_caller(self, log):
        """Pieces that are sent later must not be lost, mixed or cut off."""
        body = b''.join(b'%07d\n' % number for number in range(1_000_000))

        async def handle(incoming):
            incoming.respond(200, (), body)

        server, address = await serve_requests(handle, log)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(
            b'GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        )
        await asyncio.sleep(0.3)
        assert server.budget.used_bytes > 1_000_000
        response = await reader.read(-1)
        assert response.partition(b'\r\n\r\n')[2] == body
        writer.close()
        async with asyncio.timeout(5):
            while server.budget.used_bytes:
                await asyncio.sleep(0.01)

    @pytest.mark.parametrize('streams', [False, True])
    async def test_caller_may_pause_while_it_reads(self, log, streams):
        """The system dropped the connection 2.5 s after the last read."""
        body = bytes(8_000_000)

        async def handle(incoming):
            if not streams:
                incoming.respond(200, (), body)
                return
            incoming.start_response(200, ())
            incoming.send(body)
            incoming.finish()

        _, address = await serve_requests(handle, log)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(
            b'GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        )
        await asyncio.sleep(5.0)
        async with asyncio.timeout(5):
            assert len(await reader.read(-1)) > len(body)
        writer.close()


class TestConnectionHeaders:
    def test_headers_named_by_connection_are_removed(self):
        kept = http.strip_connection_headers(
            (
                (b'Connection', b'close, X-Hop'),
                (b'X-Hop', b'1'),
                (b'Keep-Alive', b'timeout=3'),
                (b'X-End', b'2'),
            )
        )
        assert kept == [(b'X-End', b'2')]
