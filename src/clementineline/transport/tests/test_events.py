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

    @pytest.mark.parametrize('block', [b'data: x\n\n', b'id: q\ndata: x\n\n'])
    def test_event_without_a_numeric_id_is_an_error(self, block):
        with pytest.raises(errors.ProtocolError):
            events.EventReader().feed(block)
