"""Cursors, which list the samples of a step that a trainer has received."""

import base64
import binascii

import msgspec

from clementineline import errors

__all__ = ['Cursor', 'WireCursor', 'parse_cursor']

MAX_SAMPLES = 1 << 20


class WireCursor(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A cursor in its JSON form.

    :param step: step id
    :param version: weights version that the trainer trains now
    :param received: base64 bitmap of the received sample indices; bit 0 of
        byte 0 is sample 0
    """

    step: str
    version: int
    received: str = ''


class Cursor:
    """The samples that a trainer has received of a step.

    :param step: step id
    :param version: weights version that the trainer trains now
    :param bits: integer whose bit ``i`` is set if sample ``i`` was received
    """

    __slots__ = ('bits', 'step', 'version')

    def __init__(self, step, version, bits=0):
        self.step = step
        self.version = version
        self.bits = bits

    def holds(self, index):
        """Return whether sample ``index`` was received."""
        return bool(self.bits >> index & 1)

    def add(self, indices):
        """Return a cursor with further samples.

        :param indices: indices of the further samples
        :raises errors.CursorError: if a sample was received before
        """
        bits = self.bits
        for index in indices:
            if bits >> index & 1:
                raise errors.CursorError(
                    f'step {self.step}: sample {index} was received before'
                )
            bits |= 1 << index
        return Cursor(self.step, self.version, bits)

    def count(self):
        """Return the number of received samples."""
        return self.bits.bit_count()

    def to_wire(self):
        """Return the :class:`WireCursor` of this cursor."""
        size = (self.bits.bit_length() + 7) // 8
        packed = self.bits.to_bytes(size, 'little')
        return WireCursor(
            self.step, self.version, base64.b64encode(packed).decode()
        )


def parse_cursor(wire, samples):
    """Decode and check a cursor from its JSON form.

    :param wire: a :class:`WireCursor`
    :param samples: number of samples in the step
    :returns: the :class:`Cursor`
    :raises errors.CursorError: if it is not a bitmap of the step's samples
    """
    try:
        packed = base64.b64decode(wire.received, validate=True)
    except (binascii.Error, ValueError) as error:
        raise errors.CursorError(
            f'cursor.received: expected base64, got {wire.received[:40]!r}'
        ) from error
    bits = int.from_bytes(packed, 'little')
    if bits.bit_length() > samples:
        raise errors.CursorError(
            f'cursor.received: names sample {bits.bit_length() - 1}, but '
            f'step {wire.step} has {samples} samples'
        )
    return Cursor(wire.step, wire.version, bits)
