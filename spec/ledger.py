"""Model of the ledger of a submission's results, with two owners.

An owner may lose its lease without noticing. The store may apply the create
of a chunk long after the request of its owner timed out. The trainer reads
results from either owner.
"""

from states import Model
from states import replace_at

__all__ = ['Ledger']

ITEM_COUNT = 2
OWNER_COUNT = 2
LATE_CREATES_MAX = 2


def flatten(chunks):
    """Return the items of all chunks, in order."""
    return tuple(item for chunk in chunks for item in chunk)


class Ledger(Model):
    """The protocol of :mod:`clementineline.coordination.ledger`.

    A chunk is a tuple of items. A create is ``(chunk number, items)``.
    """

    NAME = 'ledger'
    FIELDS = {
        # Chunks in the store.
        'chunks': (),
        # Chunks that each owner knows to be in the store.
        'known_chunks': ((),) * OWNER_COUNT,
        # Items that each owner has finished and not yet recorded.
        'unrecorded': ((),) * OWNER_COUNT,
        # Create that each owner has sent, until its response or timeout.
        'pending_create': (None,) * OWNER_COUNT,
        # Creates that timed out and that the store may still apply.
        'late_creates': (),
        # Longest list of items that the trainer has read.
        'read_items': (),
    }
    GUARDS = {
        'create': 'a chunk that exists is not replaced',
        'adopt': 'what another chunk lists is not listed again',
        'acknowledged': 'a reader sees recorded results only',
        'unanswered': 'a create without an answer is no recorded chunk',
    }
    INVARIANTS = {
        'each item once': lambda state: (
            len(set(flatten(state['chunks']))) == len(flatten(state['chunks']))
        ),
        'positions stay': lambda state: (
            flatten(state['chunks'])[: len(state['read_items'])]
            == state['read_items']
        ),
    }

    def list_steps(self, state):
        """Yield each step from a state."""
        for owner in range(OWNER_COUNT):
            yield from self._list_owner_steps(state, owner)
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

    def _list_owner_steps(self, state, owner):
        known = state['known_chunks'][owner]
        unrecorded = state['unrecorded'][owner]
        for item in range(ITEM_COUNT):
            if item in flatten(known) or item in unrecorded:
                continue
            yield (
                f'owner {owner} finishes item {item}',
                {
                    'unrecorded': replace_at(
                        state['unrecorded'], owner, (*unrecorded, item)
                    )
                },
            )
        if unrecorded and state['pending_create'][owner] is None:
            create = (len(known), unrecorded)
            yield (
                f'owner {owner} creates chunk {create[0]}',
                {
                    'pending_create': replace_at(
                        state['pending_create'], owner, create
                    )
                },
            )
        if state['pending_create'][owner] is not None:
            yield from self._list_create_results(state, owner)
        readable = flatten(known)
        if not self.has_guard('acknowledged'):
            readable = (*readable, *unrecorded)
        if len(readable) > len(state['read_items']):
            yield (
                f'the trainer reads at owner {owner}',
                {'read_items': readable},
            )
        # A new owner process starts from the chunks in the store.
        yield (
            f'owner {owner} starts anew',
            {
                'known_chunks': replace_at(
                    state['known_chunks'], owner, state['chunks']
                ),
                'unrecorded': replace_at(state['unrecorded'], owner, ()),
                'pending_create': replace_at(
                    state['pending_create'], owner, None
                ),
            },
        )

    def _list_create_results(self, state, owner):
        """Yield the response to a pending create, and its timeout."""
        create = state['pending_create'][owner]
        chunks, created = self._apply_create(state['chunks'], create)
        # If the chunk existed, the owner reads it from the store.
        known = chunks[: create[0] + 1]
        unrecorded = state['unrecorded'][owner]
        if created or self.has_guard('adopt'):
            unrecorded = tuple(
                item for item in unrecorded if item not in flatten(known)
            )
        yield (
            f'owner {owner} hears of chunk {create[0]}',
            {
                'chunks': chunks,
                'known_chunks': replace_at(
                    state['known_chunks'], owner, known
                ),
                'unrecorded': replace_at(
                    state['unrecorded'], owner, unrecorded
                ),
                'pending_create': replace_at(
                    state['pending_create'], owner, None
                ),
            },
        )
        if len(state['late_creates']) >= LATE_CREATES_MAX:
            return
        changes = {
            'pending_create': replace_at(state['pending_create'], owner, None),
            'late_creates': (*state['late_creates'], create),
        }
        if not self.has_guard('unanswered'):
            assumed = (*state['known_chunks'][owner], create[1])
            changes['known_chunks'] = replace_at(
                state['known_chunks'], owner, assumed
            )
            changes['unrecorded'] = replace_at(state['unrecorded'], owner, ())
        yield f'owner {owner} gives up on chunk {create[0]}', changes

    def _apply_create(self, chunks, create):
        """Apply a create in the store.

        :returns: ``(chunks, created)``: the chunks afterwards, and whether
            the create changed them
        """
        number, items = create
        if number < len(chunks):
            if self.has_guard('create'):
                return chunks, False
            return replace_at(chunks, number, items), True
        if number > len(chunks):
            return chunks, False
        return (*chunks, items), True
