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
    built = standins.PlatformStandIn(server.FactLog())
    built.port = ports.find_free_ports(1)[0]
    running = web.WebServer(
        applications.Starlette(routes=built.build_routes()),
        frames.Address('127.0.0.1', built.port),
        grace_s=1,
    )
    await running.start()
    yield built
    await running.stop()


@pytest.fixture
async def client(standin):
    http = web.open_client()
    url = f'http://127.0.0.1:{standin.port}'
    values = settings.PlatformSettings(url=url, calls_per_s=1e6)
    yield platform.PlatformClient(values, http)
    await http.close()


class TestPlatformClient:
    """A lost answer is resolved by reading, never by repeating."""

    async def test_write_and_read(self, client):
        version = await client.write('kind', 'name', {'x': 1}, 0)
        found = await client.read('kind', 'name')
        assert found.version == version
        assert found.value['x'] == 1

    async def test_other_version_is_a_conflict(self, client):
        await client.write('kind', 'name', {'x': 1}, 0)
        with pytest.raises(errors.WriteConflict):
            await client.write('kind', 'name', {'x': 2}, 0)

    async def test_lost_answer_of_a_write_that_took_effect(
        self, client, standin
    ):
        standin.faults.set({'lose_writes': 1})
        version = await client.write('kind', 'name', {'x': 1}, 0)
        assert version == (await client.read('kind', 'name')).version
        assert standin.calls['write'] == 1

    async def test_lost_answer_then_another_writer(self, client, standin):
        """The write id is found although the object was changed since."""
        standin.faults.set({'lose_writes': 1})
        read = client.read

        async def read_later(kind, name):
            current = await read(kind, name)
            await client.write(kind, name, current.value, current.version)
            return await read(kind, name)

        client_with_race = _with_read(client, read_later)
        version = await client_with_race.write('kind', 'name', {'x': 1}, 0)
        assert version == (await read('kind', 'name')).version

    async def test_outage_leaves_a_write_unknown(self, client, standin):
        standin.faults.set({'down': True})
        with pytest.raises(errors.AmbiguousWrite):
            await client.write('kind', 'name', {'x': 1}, 0)
        with pytest.raises(errors.PlatformUnavailable):
            await client.read('kind', 'name')
        assert not client.available

    async def test_watch_returns_what_changed(self, client):
        await client.write('kind', 'a', {'x': 1}, 0)
        page = await client.watch('kind', 0)
        await client.write('kind', 'b', {'x': 2}, 0)
        following = await client.watch('kind', page.version)
        assert [item.name for item in following.objects] == ['b']


def _with_read(client, read):
    """Return a client like another one, with another read."""

    class Client(platform.PlatformClient):
        __slots__ = ()

        async def read(self, kind, name):
            return await read(kind, name)

    made = Client.__new__(Client)
    for name in platform.PlatformClient.__slots__:
        setattr(made, name, getattr(client, name))
    return made


class TestRateBudget:
    """Calls keep their distance, also after an outage of ten minutes."""

    def test_no_burst_after_a_pause(self, clock):
        budget = platform.RateBudget(clock, 10.0)
        assert budget.reserve() == 0.0
        clock.time_s += 600.0
        delays = [budget.reserve() for _ in range(5)]
        assert delays == pytest.approx([0.0, 0.1, 0.2, 0.3, 0.4])
