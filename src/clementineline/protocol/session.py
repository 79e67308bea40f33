"""Sessions that outlive their connections.

A session numbers its messages in each direction, keeps what the peer has not
acknowledged, and sends it again after a reconnection; the receiver drops what
it has already seen. The idea is that of HA Joram's reliable connection
(sections 5.1.1, 5.1.2 and 5.1.6 of its specification).
"""

import collections

from clementineline import errors
from clementineline.protocol import codec
from clementineline.protocol import messages

__all__ = [
    'ACKNOWLEDGE_EVERY',
    'MAX_PENDING_BYTES',
    'Session',
    'SessionEvents',
]

ACKNOWLEDGE_EVERY = 32
MAX_PENDING_BYTES = 64 * 1024 * 1024
# Below each version, so that a peer without any is told as well.
UNKNOWN_CONFIGURATION = -1


class SessionEvents:
    """What a process does with its sessions; the default does nothing."""

    __slots__ = ()

    def get_configuration_version(self):
        """Return the configuration version in force in this process."""
        return 0

    def build_report(self):
        """Return the report to send with a heartbeat, or None."""
        return None

    def on_greeting(self, member):
        """Act on the Member in a greeting."""

    def on_open(self, session):
        """Act on a session that was opened anew."""

    def on_connect(self, session):
        """Act on a connection of a new or resumed session."""

    def on_disconnect(self, session):
        """Act on the end of a connection; the session lives on."""

    def on_message(self, session, body):
        """Act on a message, once and in order."""

    def on_report(self, session, report):
        """Act on the report in a heartbeat."""

    def on_peer_configuration(self, session, version):
        """Act on the configuration version that the peer has in force."""

    def on_lost(self, session):
        """Act on a session that can never be resumed."""


class Session:
    """One ordered, acknowledged flow of messages in both directions.

    :param session_id: id, unique in the fleet
    :param peer: the :class:`~messages.Member` at the other end
    :param events: the :class:`SessionEvents` of this process
    """

    __slots__ = (
        '_pending',
        '_pending_bytes',
        '_reported',
        '_sent',
        '_stream',
        '_unacknowledged',
        'duplicates',
        'events',
        'id',
        'last_heard',
        'lost',
        'peer',
        'peer_configuration',
        'received',
        'resumptions',
    )

    def __init__(self, session_id, peer, events):
        self.id = session_id
        self.peer = peer
        self.events = events
        self.received = 0
        self.peer_configuration = UNKNOWN_CONFIGURATION
        self.lost = False
        self.last_heard = 0.0
        self.duplicates = 0
        self.resumptions = 0
        self._pending = collections.deque()
        self._pending_bytes = 0
        self._reported = None
        self._sent = 0
        self._stream = None
        self._unacknowledged = 0

    @property
    def connected(self):
        """Whether a connection carries the session now."""
        return self._stream is not None

    @property
    def stream(self):
        """The connection's FrameStream, or None."""
        return self._stream

    @property
    def pending(self):
        """Number of messages that the peer has not acknowledged."""
        return len(self._pending)

    def send(self, body):
        """Send a message, now or on the next connection.

        :param body: one of the types in ``messages.Message``
        """
        if self.lost:
            return
        self._sent += 1
        payload = codec.encode_frame(
            messages.Data(
                self._sent,
                self.received,
                self.events.get_configuration_version(),
                body,
            )
        )
        self._pending.append((self._sent, payload))
        self._pending_bytes += len(payload)
        self._unacknowledged = 0
        if self._pending_bytes > MAX_PENDING_BYTES:
            self.abandon()
            return
        if self._stream is not None:
            self._stream.send(payload)

    def send_heartbeat(self):
        """Send a sign of life with the acknowledgement and the report."""
        if self._stream is None:
            return
        self._unacknowledged = 0
        report = self.events.build_report()
        if report == self._reported:
            # The stream is in order, so the peer has this very report.
            report = None
        else:
            self._reported = report
        self._stream.send(
            codec.encode_frame(
                messages.Heartbeat(
                    self.received,
                    self.events.get_configuration_version(),
                    report,
                )
            )
        )

    def attach(self, stream, peer_received, resumed):
        """Carry the session on a connection from now on.

        :param stream: the new connection's FrameStream
        :param peer_received: highest sequence number the peer has received
        :param resumed: whether the session existed before
        """
        if self._stream is not None and self._stream is not stream:
            self._stream.abort()
        self._stream = stream
        self._reported = None
        if resumed:
            self.resumptions += 1
        self._acknowledge(peer_received)
        for _, payload in self._pending:
            stream.send(payload)
        self.events.on_connect(self)

    def detach(self, stream):
        """Note the end of a connection."""
        if self._stream is not stream:
            return
        self._stream = None
        self.events.on_disconnect(self)

    def abandon(self):
        """Give the session up; it can never be resumed."""
        if self.lost:
            return
        self.lost = True
        self._pending.clear()
        if self._stream is not None:
            self._stream.abort()
            self._stream = None
        self.events.on_lost(self)

    def receive(self, frame):
        """Take in one frame from the current connection.

        :param frame: a decoded frame
        :raises errors.ProtocolError: if the frame does not belong here or
            leaves a gap in the sequence
        """
        if isinstance(frame, messages.Data):
            self._acknowledge(frame.received)
            self._receive_data(frame)
            return
        if isinstance(frame, messages.Heartbeat):
            self._acknowledge(frame.received)
            self._note_configuration(frame.configuration)
            if frame.report is not None:
                self.events.on_report(self, frame.report)
            return
        if isinstance(frame, messages.Goodbye):
            raise errors.ConnectionLost(f'peer said goodbye: {frame.reason}')
        raise errors.ProtocolError(
            f'{type(frame).__name__} in an open session: expected Data, '
            'Heartbeat or Goodbye'
        )

    def _receive_data(self, frame):
        if frame.sequence <= self.received:
            self.duplicates += 1
            return
        if frame.sequence != self.received + 1:
            raise errors.ProtocolError(
                f'message {frame.sequence}: expected {self.received + 1}'
            )
        self.received = frame.sequence
        self._unacknowledged += 1
        self._note_configuration(frame.configuration)
        self.events.on_message(self, frame.body)
        if self._unacknowledged >= ACKNOWLEDGE_EVERY:
            self._send_acknowledgement()

    def _send_acknowledgement(self):
        if self._stream is None:
            return
        self._unacknowledged = 0
        self._stream.send(
            codec.encode_frame(
                messages.Heartbeat(
                    self.received, self.events.get_configuration_version()
                )
            )
        )

    def _note_configuration(self, version):
        if version == self.peer_configuration:
            return
        self.peer_configuration = version
        self.events.on_peer_configuration(self, version)

    def note_peer_configuration(self, version):
        """Take in the version that a Hello or Welcome carried."""
        self._note_configuration(version)

    def _acknowledge(self, received):
        if received > self._sent:
            raise errors.ProtocolError(
                f'peer acknowledges message {received}: only {self._sent} '
                'were sent'
            )
        while self._pending and self._pending[0][0] <= received:
            _, payload = self._pending.popleft()
            self._pending_bytes -= len(payload)
