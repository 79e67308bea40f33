"""Encoding and decoding of frames as typed msgpack."""

import msgspec

from clementineline import errors
from clementineline.protocol import messages

__all__ = ['decode_frame', 'encode_frame']

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.Frame)


def encode_frame(frame):
    """Encode a frame.

    :param frame: one of the types in ``messages.Frame``
    :returns: msgpack bytes
    """
    return _ENCODER.encode(frame)


def decode_frame(payload):
    """Decode a frame.

    :param payload: msgpack bytes
    :returns: one of the types in ``messages.Frame``
    :raises errors.MalformedFrame: if the bytes are not a valid frame of a
        known type
    """
    try:
        return _DECODER.decode(payload)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise errors.MalformedFrame(
            f'frame of {len(payload)} bytes: {error}'
        ) from error
