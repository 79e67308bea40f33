"""Tests of the trainer's cursor."""

import hypothesis
from hypothesis import strategies
import pytest

from clementineline import errors
from clementineline.state import cursor as cursors

DERANDOMIZED = hypothesis.settings(derandomize=True, max_examples=200)


class TestCursor:
    """A cursor lists exactly the samples that were received.

    A sample that is listed wrongly never reaches the trainer; one that is
    missing from the list reaches it twice.
    """

    @DERANDOMIZED
    @hypothesis.given(strategies.sets(strategies.integers(0, 4095)))
    def test_round_trip(self, indices):
        cursor = cursors.Cursor('s', 3).add(indices)
        parsed = cursors.parse_cursor(cursor.to_wire(), 4096)
        held = {index for index in range(4096) if parsed.holds(index)}
        assert held == indices
        assert parsed.count() == len(indices)
        assert parsed.version == 3

    def test_4096_samples_take_512_bytes_before_base64(self):
        cursor = cursors.Cursor('s', 0).add(range(4096))
        assert len(cursor.to_wire().received) == 512 * 4 // 3 + 2

    def test_adding_a_sample_twice_is_an_error(self):
        cursor = cursors.Cursor('s', 0).add([5])
        with pytest.raises(errors.CursorError, match='sample 5'):
            cursor.add([5])

    def test_adding_does_not_change_the_old_cursor(self):
        old = cursors.Cursor('s', 0).add([1])
        old.add([2])
        assert not old.holds(2)

    @pytest.mark.parametrize(
        ('received', 'expected'),
        [('not base64!', 'expected base64'), ('AAAE', 'names sample 18')],
    )
    def test_malformed_cursor_is_an_error(self, received, expected):
        wire = cursors.WireCursor('s', 0, received)
        with pytest.raises(errors.CursorError, match=expected):
            cursors.parse_cursor(wire, 16)
