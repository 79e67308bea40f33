"""When the leader may call the platform's API, without a network."""

import asyncio
import types

import pytest

from clementineline.coordination import duties
from clementineline.coordination import dutyleader
from clementineline.state import dialect
from clementineline.state import settings
from clementineline.transport import frames
from clementineline.transport import http


class Term:
    def __init__(self):
        self.fence = 7

    def holds(self):
        return self.fence > 0


@pytest.fixture
def term():
    return Term()


@pytest.fixture
async def sender(term, log, monkeypatch):
    monkeypatch.setattr(duties, 'CALL_TIMEOUT_S', 0.02)
    monkeypatch.setattr(duties, 'UNANSWERED_CALL_S', 0.1)
    return duties.DutySender(
        'keeper-1',
        term,
        0.05,
        settings.DutySettings(address='127.0.0.1:1'),
        duties.CallSpacer(100.0),
        types.SimpleNamespace(),
        log,
    )


class TestDutySender:
    async def test_no_call_in_the_quiet_period_or_without_the_lease(
        self, sender, term
    ):
        # Calls of the previous holder may still arrive after the first one.
        assert not sender.may_call()
        await asyncio.sleep(0.06)
        assert sender.may_call()
        term.fence = 0
        assert not sender.may_call()

    async def test_higher_token_waits_for_a_call_without_an_answer(
        self, sender, term
    ):
        # A call that arrives late has a lower token than the one after it.
        await asyncio.sleep(0.06)
        sender._last_fence = term.fence
        sender._unanswered_at = asyncio.get_running_loop().time()
        assert sender.may_call()
        term.fence += 1
        assert not sender.may_call()
        await asyncio.sleep(0.11)
        assert sender.may_call()

    async def test_higher_token_waits_although_another_call_was_answered(
        self, sender, term
    ):
        # The answer to an order hid that a report was still without one, so
        # the report could arrive after a call with a higher token.
        async def serve(reader, writer):
            head = await reader.readuntil(b'\r\n\r\n')
            if head.startswith(b'POST /scale'):
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            await reader.read()
            writer.close()

        def build(token, target):
            return http.Head(b'POST', target, ()), b'{}'

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        sender._address = frames.Address('127.0.0.1', port)
        sender._dialect.read_duty_status = lambda status: accepted
        accepted = dialect.DutyOutcome.ACCEPTED
        async with server:
            outcomes = await asyncio.gather(
                sender.call('usage', build, b'/usage'),
                sender.call('scale', build, b'/scale'),
            )
        assert outcomes == [dialect.DutyOutcome.UNANSWERED, accepted]
        term.fence += 1
        assert not sender.may_call()


class TestDutyLeader:
    async def test_next_term_waits_for_a_call_of_the_one_before(
        self, term, log, monkeypatch
    ):
        # A lease lost and acquired again in the same process has a higher
        # token, and its first call could overtake the last one before.
        monkeypatch.setattr(duties, 'CALL_TIMEOUT_S', 0.02)
        monkeypatch.setattr(duties, 'UNANSWERED_CALL_S', 0.2)
        found = settings.DutySettings(
            address='127.0.0.1:1', usage=False, scaling=False
        )
        leader = dutyleader.DutyLeader(
            types.SimpleNamespace(duties=found, name='keeper-1', zone='a'),
            *[None] * 6,
            log,
        )
        leader.begin(term, 0.0, None)
        leader._sender.last_call_at = asyncio.get_running_loop().time()
        leader.end()
        assert leader.call_age_s < 0.1
        leader.begin(term, 0.0, None)
        await asyncio.sleep(0.05)
        assert not leader._sender.may_call()
        assert leader.call_age_s < 0.2
        await asyncio.sleep(0.16)
        assert leader._sender.may_call()


class TestCallSpacer:
    def test_calls_stay_below_the_rate(self):
        # Two leaders in a row share the rate that the API accepts.
        spacer = duties.CallSpacer(50.0 * duties.RATE_SHARE)
        times = [spacer.reserve(10.0) for _ in range(100)]
        assert sum(at < 1.0 for at in times) < 25
        assert spacer.reserve(100.0) == 0.0
