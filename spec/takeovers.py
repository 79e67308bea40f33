"""Model of the results of a submission that is read while its owner changes.

Gateways read results at the owner, or from the store if they know no owner.
The store may apply a create at any time after its sender has given up on it,
has ended or has led last.
"""

from states import Model
from states import replace_at

__all__ = ['Takeovers']

ITEM_COUNT = 2
OWNER_COUNT = 2
LATE_CREATES_MAX = 2
CHUNKS_MAX = 4


def flatten(chunks):
    """Return the items of all chunks, in order."""
    return tuple(item for chunk in chunks for item in chunk)


def has_what_was_read(state):
    """Return whether a certain owner has all results that were read."""
    if state['uncertain']:
        return True
    known = flatten(state['known_chunks'][state['leader']])
    return known[: len(state['read_items'])] == state['read_items']


class Takeovers(Model):
    """The protocol of :mod:`clementineline.coordination.recording`.

    A chunk is a tuple of items. A create is ``(chunk number, items)``; one
    without items only settles the outcome of the others of its number.
    """

    NAME = 'takeovers'
    FIELDS = {
        # Chunks in the store.
        'chunks': (),
        # The owner that leads, and the chunks that each owner knows.
        'leader': 0,
        'known_chunks': ((),) * OWNER_COUNT,
        # Whether the leader consults the store, as a create of unknown
        # outcome may add a chunk that it does not know.
        'uncertain': False,
        # Create that the leader has sent, until its response or timeout.
        'pending_create': None,
        # Creates without a response, which the store may still apply.
        'late_creates': (),
        # Whether the trainer has ended the submission.
        'ended': False,
        # Longest list of items that was read.
        'read_items': (),
    }
    GUARDS = {
        'takeover': 'creates of the owner before are settled first',
        'end': 'a create that the end has interrupted is settled',
        'timeout': 'a create without a response is settled',
        'refusal': 'a refused create says nothing of one before it',
    }
    INVARIANTS = {
        'what was read is listed': has_what_was_read,
        'each item once': lambda state: (
            len(set(flatten(state['chunks']))) == len(flatten(state['chunks']))
        ),
    }

    def list_steps(self, state):
        """Yield each step from a state."""
        if state['pending_create'] is None:
            yield from self._list_creates(state)
        else:
            yield from self._list_create_results(state)
        for index, create in enumerate(state['late_creates']):
            remaining = (
                state['late_creates'][:index]
                + state['late_creates'][index + 1 :]
            )
            chunks, _ = self._apply_create(state['chunks'], create)
            yield (
                f'late create of chunk {create[0]} is carried out',
                {'chunks': chunks, 'late_creates': remaining},
            )
        listed = flatten(state['chunks'])
        if len(listed) > len(state['read_items']):
            yield 'results are read from the store', {'read_items': listed}
        if state['uncertain'] and state['pending_create'] is None:
            yield (
                'the leader reads the store again',
                {
                    'known_chunks': replace_at(
                        state['known_chunks'],
                        state['leader'],
                        state['chunks'],
                    )
                },
            )
        if len(state['late_creates']) < LATE_CREATES_MAX:
            yield from self._list_interruptions(state)

    def _list_creates(self, state):
        known = state['known_chunks'][state['leader']]
        if len(known) >= CHUNKS_MAX:
            return
        if state['uncertain']:
            yield (
                f'the leader creates empty chunk {len(known)}',
                {'pending_create': (len(known), ())},
            )
        if state['ended']:
            return
        for item in range(ITEM_COUNT):
            if item in flatten(known):
                continue
            yield (
                f'the leader creates chunk {len(known)} of item {item}',
                {'pending_create': (len(known), (item,))},
            )

    def _list_create_results(self, state):
        """Yield the response to the pending create, a refusal, a timeout."""
        create = state['pending_create']
        chunks, _ = self._apply_create(state['chunks'], create)
        # If the chunk existed, the owner reads it from the store.
        known = replace_at(
            state['known_chunks'], state['leader'], chunks[: create[0] + 1]
        )
        yield (
            f'the leader hears of chunk {create[0]}',
            {
                'chunks': chunks,
                'known_chunks': known,
                'uncertain': False,
                'pending_create': None,
            },
        )
        uncertain = state['uncertain'] and self.has_guard('refusal')
        yield (
            f'the create of chunk {create[0]} is refused',
            {'uncertain': uncertain, 'pending_create': None},
        )
        if len(state['late_creates']) < LATE_CREATES_MAX:
            yield (
                f'the leader gives up on chunk {create[0]}',
                {
                    'uncertain': self.has_guard('timeout'),
                    'pending_create': None,
                    'late_creates': (*state['late_creates'], create),
                },
            )

    def _list_interruptions(self, state):
        """Yield the end of the submission, and the next owner's start."""
        pending = state['pending_create']
        late_creates = state['late_creates']
        if pending is not None:
            late_creates = (*late_creates, pending)
        changes = {'pending_create': None, 'late_creates': late_creates}
        if not state['ended']:
            uncertain = state['uncertain'] or pending is not None
            yield (
                'the trainer ends the submission',
                {
                    **changes,
                    'ended': True,
                    'uncertain': uncertain and self.has_guard('end'),
                },
            )
        leader = (state['leader'] + 1) % OWNER_COUNT
        yield (
            f'owner {leader} takes over',
            {
                **changes,
                'leader': leader,
                'known_chunks': replace_at(
                    state['known_chunks'], leader, state['chunks']
                ),
                'uncertain': self.has_guard('takeover'),
            },
        )

    def _apply_create(self, chunks, create):
        """Apply a create in the store.

        :returns: ``(chunks, created)``: the chunks afterwards, and whether
            the create changed them
        """
        number, items = create
        if number != len(chunks):
            return chunks, False
        return (*chunks, items), True
