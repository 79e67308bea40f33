import pytest

from clementineline import errors
from clementineline.transport import events


class TestEventReader:
    """Events may arrive in pieces; one without a valid id is refused."""

    def test_event_in_pieces_is_returned_once_complete(self):
        reader = events.EventReader()
        assert reader.feed(b'id: 1\nda') == []
        assert reader.has_partial
        (event,) = reader.feed(b'ta: a b\n\n')
        assert (event.number, event.data) == (1, 'a b')
        assert not reader.has_partial

    def test_other_fields_are_kept(self):
        (event,) = events.EventReader().feed(
            b'lm-version: 7\nid: 3\ndata: x\n\n'
        )
        assert event.fields == {b'lm-version': b'7'}

    def test_event_that_does_not_end_is_an_error(self):
        reader = events.EventReader()
        with pytest.raises(errors.ProtocolError, match='at most'):
            for _ in range(2 * events.EVENT_MAX_BYTES // 4096):
                reader.feed(b'x' * 4096)

    def test_end_of_an_event_may_arrive_in_any_pieces(self):
        sent = b'id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n'
        for size in range(1, 8):
            reader = events.EventReader()
            found = []
            for start in range(0, len(sent), size):
                found += reader.feed(sent[start : start + size])
            assert [event.number for event in found] == [1, 2]

    @pytest.mark.parametrize('block', [b'data: x\n\n', b'id: q\ndata: x\n\n'])
    def test_event_without_a_numeric_id_is_an_error(self, block):
        with pytest.raises(errors.ProtocolError):
            events.EventReader().feed(block)
