"""Delivery of a step's samples with the cursor that the trainer holds.

Two entries may own the step at once. Samples are made with the weights of the
moment; answers to pulls arrive late, twice or not at all; the trainer
announces new weights at any time, also while it waits for an answer.
"""

from states import Model
from states import put

__all__ = ['Samples']

SAMPLES = 2
VERSION_MAX = 2
BOUND = 1
ABSENT = -1


class Samples(Model):
    """The protocol of :mod:`clementineline.coordination.samples`."""

    NAME = 'samples'
    FIELDS = {
        'weights': 0,
        'trainer': 0,
        'held': (False,) * SAMPLES,
        'delivered': (0,) * SAMPLES,
        'stale': False,
        'made': ((ABSENT,) * SAMPLES,) * 2,
        'pull': None,
        'answers': (),
    }
    GUARDS = {
        'cursor': 'an owner leaves out what the cursor holds',
        'staleness': 'an owner checks the age at delivery',
        'version moved': 'an answer to a pull with older weights is dropped',
        'one pull': 'only the answer to the open pull counts',
    }
    INVARIANTS = {
        'each sample once': lambda state: max(state['delivered']) <= 1,
        'no stale sample': lambda state: not state['stale'],
    }

    def list_steps(self, state):
        """Yield each step from a state."""
        if state['weights'] < VERSION_MAX:
            version = state['weights'] + 1
            yield (
                f'the trainer announces version {version}',
                {'weights': version, 'trainer': version},
            )
        yield from self._list_owner_steps(state)
        if state['pull'] is None and not all(state['held']):
            yield (
                'the trainer pulls',
                {'pull': (state['held'], state['trainer'])},
            )
        if state['pull'] is not None:
            yield 'the pull is given up', {'pull': None}
        for number in range(len(state['answers'])):
            yield from self._receive(state, number)

    def _list_owner_steps(self, state):
        for owner in (0, 1):
            for sample in range(SAMPLES):
                if state['made'][owner][sample] != ABSENT:
                    continue
                made = put(state['made'][owner], sample, state['weights'])
                yield (
                    f'owner {owner} makes sample {sample}',
                    {'made': put(state['made'], owner, made)},
                )
            if state['pull'] is not None and len(state['answers']) < 2:
                yield from self._answer(state, owner)

    def _answer(self, state, owner):
        held, version = state['pull']
        groups = []
        made = state['made'][owner]
        for sample in range(SAMPLES):
            if made[sample] == ABSENT:
                continue
            if held[sample] and self.has('cursor'):
                continue
            if made[sample] < version - BOUND and self.has('staleness'):
                # Thrown away, and made anew.
                made = put(made, sample, ABSENT)
                continue
            groups.append((sample, made[sample]))
        if not groups:
            return
        answer = (state['pull'], tuple(groups))
        yield (
            f'owner {owner} answers',
            {
                'answers': (*state['answers'], answer),
                'made': put(state['made'], owner, made),
            },
        )

    def _receive(self, state, number):
        pull, groups = state['answers'][number]
        rest = (
            *state['answers'][:number],
            *state['answers'][number + 1 :],
        )
        yield f'answer {number} is lost', {'answers': rest}
        if pull != state['pull'] and self.has('one pull'):
            return
        changes = {'answers': rest, 'pull': None}
        if pull[1] != state['trainer'] and self.has('version moved'):
            yield f'answer {number} is dropped', changes
            return
        held, delivered = state['held'], state['delivered']
        stale = state['stale']
        for sample, version in groups:
            held = put(held, sample, True)
            delivered = put(delivered, sample, delivered[sample] + 1)
            stale = stale or version < state['trainer'] - BOUND
        yield (
            f'answer {number} is taken',
            dict(changes, held=held, delivered=delivered, stale=stale),
        )
