"""Tests of sessions whose connections lose or repeat frames."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from clementineline import errors
from clementineline.protocol import codec
from clementineline.protocol import messages
from clementineline.protocol import session as sessions

DERANDOMIZED = hypothesis.settings(derandomize=True, max_examples=200)


class Recorder(sessions.SessionEvents):
    """Records the messages that a session delivers."""

    def __init__(self):
        self.received = []
        self.lost = 0

    def on_message(self, session, body):
        self.received.append(body.id)

    def on_lost(self, session):
        self.lost += 1


class FakeStream:
    """Records the payloads that are sent."""

    def __init__(self):
        self.sent = []
        self.aborted = False

    def send(self, payload):
        self.sent.append(payload)

    def abort(self):
        self.aborted = True


@pytest.fixture
def build_pair(build_member):
    def build():
        left, right = Recorder(), Recorder()
        peer = build_member('peer')
        return (
            sessions.Session('s', peer, left),
            sessions.Session('s', peer, right),
            right,
        )

    return build


class TestSession:
    """Messages arrive once and in order, even if connections are lost.

    Guards against a message that is delivered twice, or lost, because a
    connection ended before the message was acknowledged.
    """

    def test_resent_message_is_delivered_once(self, build_pair):
        left, right, recorder = build_pair()
        first, second = FakeStream(), FakeStream()
        left.attach(first, 0, resumed=False)
        right.attach(FakeStream(), 0, resumed=False)
        left.send(messages.Cancel('1', ''))
        left.send(messages.Cancel('2', ''))
        right.receive(codec.decode_frame(first.sent[0]))
        left.attach(second, 0, resumed=True)
        for payload in second.sent:
            right.receive(codec.decode_frame(payload))
        assert recorder.received == ['1', '2']
        assert right.duplicates == 1

    def test_gap_in_the_sequence_is_refused(self, build_pair):
        _, right, recorder = build_pair()
        frame = messages.Data(2, 0, 0, messages.Cancel('2', ''))
        with pytest.raises(errors.ProtocolError, match='expected 1'):
            right.receive(frame)
        assert recorder.received == []

    def test_acknowledgement_of_unsent_message_is_refused(self, build_pair):
        left, _, _ = build_pair()
        with pytest.raises(errors.ProtocolError, match='only 0'):
            left.receive(messages.Heartbeat(5, 0))

    def test_acknowledged_message_is_not_pending(self, build_pair):
        left, _, _ = build_pair()
        left.attach(FakeStream(), 0, resumed=False)
        left.send(messages.Cancel('1', ''))
        left.send(messages.Cancel('2', ''))
        left.receive(messages.Heartbeat(1, 0))
        assert left.pending == 1

    def test_session_with_too_many_pending_bytes_is_abandoned(
        self, build_pair, monkeypatch
    ):
        left, _, _ = build_pair()
        monkeypatch.setattr(sessions, 'MAX_PENDING_BYTES', 100)
        for _ in range(10):
            left.send(messages.Cancel('x' * 30, ''))
        assert left.lost
        assert left.events.lost == 1

    @DERANDOMIZED
    @hypothesis.given(
        strategies.integers(1, 30),
        strategies.lists(strategies.integers(0, 40), max_size=6),
        strategies.integers(0, 2**16),
    )
    def test_lost_connections_neither_lose_nor_repeat_messages(
        self, count, cuts, seed
    ):
        generator = random.Random(seed)
        recorder = Recorder()
        peer = messages.Member('p', 'entry', 1, 1, 'z', 'a')
        left = sessions.Session('s', peer, Recorder())
        right = sessions.Session('s', peer, recorder)
        stream = FakeStream()
        left.attach(stream, 0, resumed=False)
        for number in range(count):
            left.send(messages.Cancel(str(number), ''))
        for cut in [*cuts, None]:
            # A connection that is cut delivers only the first frames.
            delivered = stream.sent if cut is None else stream.sent[:cut]
            for payload in delivered:
                right.receive(codec.decode_frame(payload))
            if generator.random() < 0.5:
                left.receive(messages.Heartbeat(right.received, 0))
            stream = FakeStream()
            left.attach(stream, right.received, resumed=True)
        assert recorder.received == [str(n) for n in range(count)]
        assert left.pending == 0
