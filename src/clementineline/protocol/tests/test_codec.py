"""Tests of the encoding and decoding of frames."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from clementineline import errors
from clementineline.protocol import codec
from clementineline.protocol import messages

DERANDOMIZED = hypothesis.settings(derandomize=True, max_examples=200)


class TestCodec:
    """Frames are decoded unchanged, and malformed bytes raise MalformedFrame.

    Guards against bytes from a foreign or faulty peer that are accepted as a
    frame, or that raise an exception which the connection does not handle.
    """

    @pytest.mark.parametrize(
        'body',
        [
            messages.Chunk('a', 'text', 3, 7),
            messages.Done('a', 'answered', status=201, body=b'\x00\xff'),
            messages.Cancel('a', 'why'),
            messages.KeyAnswer('c', 'granted'),
            messages.Order(9, 'o', ['s'], 'stage', 'm', 4),
            messages.Dispatch(
                'a', 'live', 0.0, True, '', messages.Generate('m', 'p', b'{}')
            ),
        ],
    )
    def test_round_trip_preserves_the_frame(self, body):
        frame = messages.Data(1, 2, 3, body)
        assert codec.decode_frame(codec.encode_frame(frame)) == frame

    @DERANDOMIZED
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_raise_malformed_frame(self, payload):
        try:
            frame = codec.decode_frame(payload)
        except errors.MalformedFrame as error:
            assert str(len(payload)) in str(error)
        else:
            assert codec.decode_frame(codec.encode_frame(frame)) == frame

    @DERANDOMIZED
    @hypothesis.given(strategies.integers(0, 60), strategies.integers(0, 255))
    def test_changed_byte_raises_only_malformed_frame(self, position, value):
        frame = messages.Data(1, 2, 3, messages.Chunk('id', 'some text', 3, 7))
        payload = bytearray(codec.encode_frame(frame))
        payload[position % len(payload)] = value
        try:
            codec.decode_frame(bytes(payload))
        except errors.MalformedFrame:
            return

    def test_unknown_tag_is_named(self):
        payload = msgspec.msgpack.encode(['no-such-frame', 1])
        with pytest.raises(errors.MalformedFrame, match='no-such-frame'):
            codec.decode_frame(payload)
