"""Model of the delivery of a step's samples, with the trainer's cursor.

Two entries may own the step at the same time. A sample is generated with the
weights that are current at that moment. Answers to pulls may arrive late,
twice or not at all. The trainer may announce new weights at any time, also
during a pull.
"""

from states import Model
from states import replace_at

__all__ = ['Samples']

SAMPLE_COUNT = 2
VERSION_MAX = 2
# Largest allowed difference, in versions, between the trainer's weights and
# the weights of a sample.
STALENESS_MAX = 1
NOT_GENERATED = -1


class Samples(Model):
    """The protocol of :mod:`clementineline.coordination.samples`.

    A pull is ``(cursor, trainer's version)``. An answer is ``(pull, samples)``
    where samples holds ``(sample, version of its weights)`` for each sample.
    """

    NAME = 'samples'
    FIELDS = {
        # Version of the weights that the engines generate with.
        'engine_version': 0,
        # Version of the weights that the trainer has announced.
        'trainer_version': 0,
        # The trainer's cursor: whether it has received each sample.
        'cursor': (False,) * SAMPLE_COUNT,
        # How often each sample was delivered.
        'deliveries': (0,) * SAMPLE_COUNT,
        'stale_delivered': False,
        # Version of the weights of each owner's samples.
        'sample_versions': ((NOT_GENERATED,) * SAMPLE_COUNT,) * 2,
        # The open pull, or None.
        'pull': None,
        # Answers in flight.
        'answers': (),
    }
    GUARDS = {
        'cursor': 'an owner leaves out what the cursor holds',
        'staleness': 'an owner checks the age at delivery',
        'version moved': 'an answer to a pull with older weights is dropped',
        'one pull': 'only the answer to the open pull counts',
    }
    INVARIANTS = {
        'each sample once': lambda state: max(state['deliveries']) <= 1,
        'no stale sample': lambda state: not state['stale_delivered'],
    }

    def list_steps(self, state):
        """Yield each step from a state."""
        if state['engine_version'] < VERSION_MAX:
            version = state['engine_version'] + 1
            yield (
                f'the trainer announces version {version}',
                {'engine_version': version, 'trainer_version': version},
            )
        yield from self._list_owner_steps(state)
        if state['pull'] is None and not all(state['cursor']):
            yield (
                'the trainer pulls',
                {'pull': (state['cursor'], state['trainer_version'])},
            )
        if state['pull'] is not None:
            yield 'the pull is given up', {'pull': None}
        for number in range(len(state['answers'])):
            yield from self._list_receptions(state, number)

    def _list_owner_steps(self, state):
        for owner in (0, 1):
            for sample in range(SAMPLE_COUNT):
                if state['sample_versions'][owner][sample] != NOT_GENERATED:
                    continue
                versions = replace_at(
                    state['sample_versions'][owner],
                    sample,
                    state['engine_version'],
                )
                yield (
                    f'owner {owner} makes sample {sample}',
                    {
                        'sample_versions': replace_at(
                            state['sample_versions'], owner, versions
                        )
                    },
                )
            if state['pull'] is not None and len(state['answers']) < 2:
                yield from self._list_answers(state, owner)

    def _list_answers(self, state, owner):
        """Yield the step in which an owner answers the open pull, if any."""
        cursor, version = state['pull']
        delivered = []
        versions = state['sample_versions'][owner]
        for sample in range(SAMPLE_COUNT):
            if versions[sample] == NOT_GENERATED:
                continue
            if cursor[sample] and self.has_guard('cursor'):
                continue
            if versions[sample] < version - STALENESS_MAX and self.has_guard(
                'staleness'
            ):
                # The owner discards the sample and will generate it again.
                versions = replace_at(versions, sample, NOT_GENERATED)
                continue
            delivered.append((sample, versions[sample]))
        if not delivered:
            return
        answer = (state['pull'], tuple(delivered))
        yield (
            f'owner {owner} answers',
            {
                'answers': (*state['answers'], answer),
                'sample_versions': replace_at(
                    state['sample_versions'], owner, versions
                ),
            },
        )

    def _list_receptions(self, state, number):
        """Yield the loss and the arrival of an answer in flight."""
        pull, delivered = state['answers'][number]
        remaining = (
            *state['answers'][:number],
            *state['answers'][number + 1 :],
        )
        yield f'answer {number} is lost', {'answers': remaining}
        if pull != state['pull'] and self.has_guard('one pull'):
            return
        changes = {'answers': remaining, 'pull': None}
        if pull[1] != state['trainer_version'] and self.has_guard(
            'version moved'
        ):
            yield f'answer {number} is dropped', changes
            return
        cursor, deliveries = state['cursor'], state['deliveries']
        stale = state['stale_delivered']
        for sample, version in delivered:
            cursor = replace_at(cursor, sample, True)
            deliveries = replace_at(deliveries, sample, deliveries[sample] + 1)
            stale = stale or version < state['trainer_version'] - STALENESS_MAX
        yield (
            f'answer {number} is taken',
            dict(
                changes,
                cursor=cursor,
                deliveries=deliveries,
                stale_delivered=stale,
            ),
        )
