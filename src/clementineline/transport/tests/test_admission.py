"""Tests of the bounds on connections and of the log lines of refusals."""

import pytest

from clementineline.transport import admission


class Log:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append(fields)


@pytest.fixture
def refusals():
    return admission.RefusalRecord(Log())


class Port:
    """Connections of a table, by address, which note that they are closed."""

    def __init__(self, limit, refusals):
        self.table = admission.ConnectionTable(limit, refusals)
        self.closed = []

    async def open(self, address, state=admission.State.IDLE):
        entry = self.table.add(address, lambda: self.closed.append(entry))
        if entry is not None:
            entry.set_state(state)
        return entry


class TestConnectionTable:
    """Clients that leave connections open must not keep others out."""

    async def test_longest_idle_of_the_largest_address_is_closed(
        self, refusals
    ):
        port = Port(8, refusals)
        other = await port.open('10.0.0.1')
        idle = [await port.open('10.0.0.2') for _ in range(7)]
        assert await port.open('10.0.0.3')
        assert port.closed == [idle[0]]
        assert other not in port.closed
        assert port.table.count == 8

    async def test_one_address_leaves_a_share_to_others(self, refusals):
        port = Port(16, refusals)
        for _ in range(50):
            assert await port.open('10.0.0.1')
        assert port.table.count == 14

    async def test_connection_with_a_running_request_is_kept(self, refusals):
        port = Port(8, refusals)
        for _ in range(7):
            await port.open('10.0.0.1', admission.State.BUSY)
        assert await port.open('10.0.0.1') is None
        assert await port.open('10.0.0.2', admission.State.BUSY)
        assert await port.open('10.0.0.3') is None
        assert not port.closed

    async def test_removed_connection_makes_room(self, refusals):
        port = Port(2, refusals)
        for _ in range(5):
            entry = await port.open('10.0.0.1')
            port.table.remove(entry)
            port.table.remove(entry)
        assert (port.table.count, port.closed) == (0, [])


class TestRefusalRecord:
    async def test_one_line_for_each_address(self, refusals):
        """A line for each refusal would be a load of its own."""
        reasons = []
        refusals.on_refusal = reasons.append
        for address in ('10.0.0.1', '10.0.0.2'):
            for _ in range(20):
                refusals.note(address, 'slow')
        assert len(refusals._log.lines) == 2
        assert len(reasons) == 40

    async def test_addresses_are_bounded(self, refusals):
        for number in range(2 * admission.ADDRESSES_MAX):
            refusals.note(f'address {number}', 'slow')
        assert len(refusals._by_address) == admission.ADDRESSES_MAX
