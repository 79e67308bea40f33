"""Tests of the platform's client against the stand-in."""

import pytest
from starlette import applications

from clementineline import errors
from clementineline.standins import platform as standins
from clementineline.standins import ports
from clementineline.standins import server
from clementineline.state import platform
from clementineline.state import settings
from clementineline.transport import frames
from clementineline.transport import web


@pytest.fixture
async def standin():
    platform_standin = standins.PlatformStandIn(server.FactLog())
    platform_standin.port = ports.find_free_ports(1)[0]
    web_server = web.WebServer(
        applications.Starlette(routes=platform_standin.build_routes()),
        frames.Address('127.0.0.1', platform_standin.port),
        grace_s=1,
    )
    await web_server.start()
    yield platform_standin
    await web_server.stop()


@pytest.fixture
async def client(standin):
    http = web.open_client()
    url = f'http://127.0.0.1:{standin.port}'
    values = settings.PlatformSettings(url=url, calls_per_s=1e6)
    yield platform.PlatformClient(values, http)
    await http.close()


class TestPlatformClient:
    """The outcome of a write is read from the store if the response is lost.

    The platform may carry out a write whose response is lost. A client that
    repeats such a write gets a conflict with its own first attempt.
    """

    async def test_write_and_read(self, client):
        version = await client.write('kind', 'name', {'x': 1}, 0)
        found = await client.read('kind', 'name')
        assert found.version == version
        assert found.value['x'] == 1

    async def test_write_with_another_version_is_a_conflict(self, client):
        await client.write('kind', 'name', {'x': 1}, 0)
        with pytest.raises(errors.WriteConflict):
            await client.write('kind', 'name', {'x': 2}, 0)

    async def test_write_with_lost_response_is_recognised(
        self, client, standin
    ):
        standin.faults.set({'lose_writes': 1})
        version = await client.write('kind', 'name', {'x': 1}, 0)
        assert version == (await client.read('kind', 'name')).version
        assert standin.calls['write'] == 1

    async def test_write_with_lost_response_is_recognised_after_another(
        self, client, standin
    ):
        """The write id is found although another write followed."""
        standin.faults.set({'lose_writes': 1})
        read = client.read

        async def read_later(kind, name):
            current = await read(kind, name)
            await client.write(kind, name, current.value, current.version)
            return await read(kind, name)

        client_with_race = _with_read(client, read_later)
        version = await client_with_race.write('kind', 'name', {'x': 1}, 0)
        assert version == (await read('kind', 'name')).version

    async def test_write_during_an_outage_is_ambiguous(self, client, standin):
        standin.faults.set({'down': True})
        with pytest.raises(errors.AmbiguousWrite):
            await client.write('kind', 'name', {'x': 1}, 0)
        with pytest.raises(errors.PlatformUnavailable):
            await client.read('kind', 'name')
        assert not client.available

    async def test_watch_returns_changed_objects(self, client):
        await client.write('kind', 'a', {'x': 1}, 0)
        page = await client.watch('kind', 0)
        await client.write('kind', 'b', {'x': 2}, 0)
        changes = await client.watch('kind', page.version)
        assert [item.name for item in changes.objects] == ['b']


def _with_read(client, read):
    """Return a copy of a client that reads with the given function."""

    class Client(platform.PlatformClient):
        __slots__ = ()

        async def read(self, kind, name):
            return await read(kind, name)

    copy = Client.__new__(Client)
    for name in platform.PlatformClient.__slots__:
        setattr(copy, name, getattr(client, name))
    return copy


class TestRateLimiter:
    """A pause of ten minutes does not allow a burst of calls afterwards."""

    def test_no_burst_after_a_pause(self, clock):
        limiter = platform.RateLimiter(clock, 10.0)
        assert limiter.reserve() == 0.0
        clock.time_s += 600.0
        delays = [limiter.reserve() for _ in range(5)]
        assert delays == pytest.approx([0.0, 0.1, 0.2, 0.3, 0.4])
