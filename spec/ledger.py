"""The record of a submission's results, with two owners and late writes.

An owner may lose its lease without knowing it; a create may be carried out
long after its owner gave up waiting; a trainer reads at either owner.
"""

from states import Model
from states import put

__all__ = ['Ledger']

ITEMS = 2
OWNERS = 2
LATE_MAX = 2


def flatten(chunks):
    """Return the items of all chunks, in order."""
    return tuple(item for chunk in chunks for item in chunk)


class Ledger(Model):
    """The protocol of :mod:`clementineline.coordination.ledger`."""

    NAME = 'ledger'
    FIELDS = {
        'chunks': (),
        'views': ((),) * OWNERS,
        'finished': ((),) * OWNERS,
        'pending': (None,) * OWNERS,
        'late': (),
        'seen': (),
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
            flatten(state['chunks'])[: len(state['seen'])] == state['seen']
        ),
    }

    def list_steps(self, state):
        """Yield each step from a state."""
        for owner in range(OWNERS):
            yield from self._list_owner_steps(state, owner)
        for number, write in enumerate(state['late']):
            rest = state['late'][:number] + state['late'][number + 1 :]
            chunks, _ = self._apply(state['chunks'], write)
            yield (
                f'late create of chunk {write[0]} is carried out',
                {'chunks': chunks, 'late': rest},
            )

    def _list_owner_steps(self, state, owner):
        view = state['views'][owner]
        finished = state['finished'][owner]
        for item in range(ITEMS):
            if item in flatten(view) or item in finished:
                continue
            yield (
                f'owner {owner} finishes item {item}',
                {'finished': put(state['finished'], owner, (*finished, item))},
            )
        if finished and state['pending'][owner] is None:
            write = (len(view), finished)
            yield (
                f'owner {owner} creates chunk {write[0]}',
                {'pending': put(state['pending'], owner, write)},
            )
        if state['pending'][owner] is not None:
            yield from self._list_answers(state, owner)
        shown = flatten(view)
        if not self.has('acknowledged'):
            shown = (*shown, *finished)
        if len(shown) > len(state['seen']):
            yield f'the trainer reads at owner {owner}', {'seen': shown}
        yield (
            f'owner {owner} starts anew',
            {
                'views': put(state['views'], owner, state['chunks']),
                'finished': put(state['finished'], owner, ()),
                'pending': put(state['pending'], owner, None),
            },
        )

    def _list_answers(self, state, owner):
        write = state['pending'][owner]
        chunks, created = self._apply(state['chunks'], write)
        listed = chunks[: write[0] + 1]
        rest = state['finished'][owner]
        if created or self.has('adopt'):
            rest = tuple(item for item in rest if item not in flatten(listed))
        yield (
            f'owner {owner} hears of chunk {write[0]}',
            {
                'chunks': chunks,
                'views': put(state['views'], owner, listed),
                'finished': put(state['finished'], owner, rest),
                'pending': put(state['pending'], owner, None),
            },
        )
        if len(state['late']) >= LATE_MAX:
            return
        changes = {
            'pending': put(state['pending'], owner, None),
            'late': (*state['late'], write),
        }
        if not self.has('unanswered'):
            view = (*state['views'][owner], write[1])
            changes['views'] = put(state['views'], owner, view)
            changes['finished'] = put(state['finished'], owner, ())
        yield f'owner {owner} gives up on chunk {write[0]}', changes

    def _apply(self, chunks, write):
        """Carry a create out; returns the chunks and whether it was done."""
        number, items = write
        if number < len(chunks):
            if self.has('create'):
                return chunks, False
            return put(chunks, number, items), True
        if number > len(chunks):
            return chunks, False
        return (*chunks, items), True
