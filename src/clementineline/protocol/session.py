"""Sessions that outlive their connections.

A session numbers its messages in each direction. The sender keeps messages
until the peer acknowledges them and sends them again after a reconnection; the
receiver drops duplicates. The design follows HA Joram's reliable connection
(sections 5.1.1, 5.1.2 and 5.1.6 of its specification).
"""

import collections

from clementineline import errors
from clementineline.protocol import codec
from clementineline.protocol import messages

__all__ = [
    'MAX_PENDING_BYTES',
    'Session',
    'SessionEvents',
    'UNACKNOWLEDGED_MESSAGES_MAX',
]

# When this many received messages are unacknowledged, a heartbeat acknowledges
# them at once.
UNACKNOWLEDGED_MESSAGES_MAX = 32
MAX_PENDING_BYTES = 64 * 1024 * 1024
# Lower than any version, so that the first version of a peer, even 0, counts
# as a change and the peer is sent the configuration.
UNKNOWN_CONFIGURATION = -1


class SessionEvents:
    """Callbacks of a process for session events; the defaults do nothing."""

    __slots__ = ()

    def get_configuration_version(self):
        """Return the configuration version in force in this process."""
        return 0

    def build_report(self):
        """Return the report to send with a heartbeat, or None."""
        return None

    def on_greeting(self, member):
        """Handle the Member in the peer's Hello or Welcome."""

    def on_open(self, session):
        """Handle the opening of a new session."""

    def on_connect(self, session):
        """Handle a new connection of a new or resumed session."""

    def on_disconnect(self, session):
        """Handle the end of a connection; the session can be resumed."""

    def on_message(self, session, body):
        """Handle a message; each is delivered once and in order."""

    def on_report(self, session, report):
        """Handle the report in a heartbeat."""

    def on_peer_configuration(self, session, version):
        """Handle a change of the configuration version that the peer uses."""

    def on_lost(self, session):
        """Handle the loss of a session, which can never be resumed."""


class Session:
    """Ordered, acknowledged messages in both directions between two processes.

    :param session_id: id, unique in the fleet
    :param peer: the :class:`~messages.Member` at the other end
    :param events: the :class:`SessionEvents` of this process
    """

    __slots__ = (
        '_pending',
        '_pending_bytes',
        '_previous_report',
        '_sent',
        '_stream',
        '_unacked_received',
        'duplicates',
        'events',
        'id',
        'last_received_at',
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
        self.last_received_at = 0.0
        self.duplicates = 0
        self.resumptions = 0
        self._pending = collections.deque()
        self._pending_bytes = 0
        self._previous_report = None
        self._sent = 0
        self._stream = None
        self._unacked_received = 0

    @property
    def connected(self):
        """Whether the session currently has a connection."""
        return self._stream is not None

    @property
    def stream(self):
        """The current connection's FrameStream, or None."""
        return self._stream

    @property
    def pending(self):
        """Number of messages that the peer has not acknowledged."""
        return len(self._pending)

    def send(self, body):
        """Send a message now, or on the next connection.

        If more than ``MAX_PENDING_BYTES`` are unacknowledged, the session is
        abandoned.

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
        self._unacked_received = 0
        if self._pending_bytes > MAX_PENDING_BYTES:
            self.abandon()
            return
        if self._stream is not None:
            self._stream.send(payload)

    def send_heartbeat(self):
        """Send an acknowledgement and, if it changed, the report."""
        if self._stream is None:
            return
        self._unacked_received = 0
        report = self.events.build_report()
        if report == self._previous_report:
            # The connection delivers in order, so the peer has this report.
            report = None
        else:
            self._previous_report = report
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
        """Use a new connection and resend unacknowledged messages on it.

        :param stream: the new connection's FrameStream
        :param peer_received: highest sequence number that the peer received
        :param resumed: whether the session existed before this connection
        """
        if self._stream is not None and self._stream is not stream:
            self._stream.abort()
        self._stream = stream
        self._previous_report = None
        if resumed:
            self.resumptions += 1
        self._acknowledge(peer_received)
        for _, payload in self._pending:
            stream.send(payload)
        self.events.on_connect(self)

    def detach(self, stream):
        """Handle the end of a connection, unless another one replaced it."""
        if self._stream is not stream:
            return
        self._stream = None
        self.events.on_disconnect(self)

    def abandon(self):
        """End the session for good and drop its pending messages."""
        if self.lost:
            return
        self.lost = True
        self._pending.clear()
        if self._stream is not None:
            self._stream.abort()
            self._stream = None
        self.events.on_lost(self)

    def receive(self, frame):
        """Process one frame from the current connection.

        :param frame: a decoded frame
        :raises errors.ConnectionLost: if the frame is a Goodbye
        :raises errors.ProtocolError: if the frame type is not allowed in an
            open session, a sequence number is missing, or a message is
            acknowledged that was never sent
        """
        if isinstance(frame, messages.Data):
            self._acknowledge(frame.received)
            self._receive_data(frame)
            return
        if isinstance(frame, messages.Heartbeat):
            self._acknowledge(frame.received)
            self._update_peer_configuration(frame.configuration)
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
        self._unacked_received += 1
        self._update_peer_configuration(frame.configuration)
        self.events.on_message(self, frame.body)
        if self._unacked_received >= UNACKNOWLEDGED_MESSAGES_MAX:
            self._send_acknowledgement()

    def _send_acknowledgement(self):
        if self._stream is None:
            return
        self._unacked_received = 0
        self._stream.send(
            codec.encode_frame(
                messages.Heartbeat(
                    self.received, self.events.get_configuration_version()
                )
            )
        )

    def _update_peer_configuration(self, version):
        if version == self.peer_configuration:
            return
        self.peer_configuration = version
        self.events.on_peer_configuration(self, version)

    def update_peer_configuration(self, version):
        """Handle the configuration version in a Hello or Welcome."""
        self._update_peer_configuration(version)

    def _acknowledge(self, received):
        if received > self._sent:
            raise errors.ProtocolError(
                f'peer acknowledges message {received}: only {self._sent} '
                'were sent'
            )
        while self._pending and self._pending[0][0] <= received:
            _, payload = self._pending.popleft()
            self._pending_bytes -= len(payload)
