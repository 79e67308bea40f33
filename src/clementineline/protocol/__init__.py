"""Protocol between the processes: messages, codec, sessions, verdicts."""

from clementineline.protocol.codec import decode_frame
from clementineline.protocol.codec import encode_frame
from clementineline.protocol import messages
from clementineline.protocol.session import Session
from clementineline.protocol.session import SessionEvents
from clementineline.protocol import verdicts

__all__ = [
    'Session',
    'SessionEvents',
    'decode_frame',
    'encode_frame',
    'messages',
    'verdicts',
]
