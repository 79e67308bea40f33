"""Dispatch, verdicts, repeats and key records of one keyed call.

Two entries serve the same key, each with one attempt of its own. The key has
a pair of homes in roster 1 and another pair in roster 2, which may come into
force at any time. Dispatches arrive late or not at all; one home and the
endpoint may lose their memory; entries may die at any step.
"""

from states import Model
from states import put

__all__ = ['KeyedCalls']

START, PRIMARY, BACKUP, WAIT, REPEAT = 'start', 'prim', 'back', 'wait', 'rep'
ANSWERED, NOT_RUN, MAY_HAVE_RUN, DEAD = 'answered', 'not-run', 'may', 'dead'
UNSEEN, RAN, TOMBSTONE = 'unseen', 'ran', 'tombstone'
NONE = (0, 0)
HOMES = 4


def claim(current, record, expected, checks_generation=True):
    """Return ``(outcome, record kept)`` of a claim at one home.

    A record is ``(attempt, generation)``; ``NONE`` stands for no record.
    """
    if current == NONE:
        return 'granted', record
    if current[0] == record[0]:
        return 'granted', current
    if checks_generation and current[1] != expected:
        return 'held', current
    return 'granted', record


class KeyedCalls(Model):
    """The protocol of :mod:`clementineline.coordination.keys`.

    :param pair: homes of the key in roster 2, of 0 to 3
    """

    NAME = 'keyed calls'
    FIELDS = {
        'roster': 1,
        'entry_roster': (1, 1),
        'home_roster': (1,) * HOMES,
        'home_up': (True,) * HOMES,
        'records': (NONE,) * HOMES,
        'phase': (START, START),
        'record': (NONE, NONE),
        'expected': (0, 0),
        'flight': (False, False),
        'attempts': (UNSEEN, UNSEEN),
        'restarted': False,
        'claimed_before_restart': (False, False),
        'ran': (0, 0),
    }
    GUARDS = {
        'both homes': 'dispatch only after both homes granted the claim',
        'tombstone': 'an attempt that is asked for before it arrives is '
        'refused for good',
        'ask earlier homes': 'a new roster asks a home of the earlier one',
        'one roster': 'a home refuses claims under another roster',
        'same roster': 'a claim starts anew when the roster changes under it',
        'incarnation': 'a restarted endpoint cannot say "not run"',
        'same start': 'an attempt goes only to the start of the endpoint '
        'that its claim names',
        'generation': 'a claim follows the record that it has seen',
        'dedup': 'an endpoint runs an attempt only once',
    }
    INVARIANTS = {
        'at most one run': lambda state: sum(state['ran']) <= 1,
        'a true not-run': lambda state: all(
            not (
                state['phase'][entry] == NOT_RUN
                and (state['ran'][entry] or _may_run(state, entry))
            )
            for entry in (0, 1)
        ),
    }

    def __init__(self, without='', pair=(1, 2)):
        super().__init__(without)
        self._pairs = {1: (0, 1), 2: pair}

    def list_steps(self, state):
        """Yield each step from a state."""
        if state['roster'] == 1:
            yield 'roster 2 is written', {'roster': 2}
        if state['home_up'][0]:
            yield (
                'home 0 dies',
                {
                    'home_up': put(state['home_up'], 0, False),
                    'records': put(state['records'], 0, NONE),
                },
            )
        if not state['restarted']:
            yield (
                'the endpoint restarts',
                {
                    'restarted': True,
                    'attempts': (UNSEEN, UNSEEN),
                    'flight': (False, False),
                },
            )
        for home in range(HOMES):
            if state['home_roster'][home] < state['roster']:
                yield (
                    f'home {home} adopts roster 2',
                    {'home_roster': put(state['home_roster'], home, 2)},
                )
        for entry in (0, 1):
            yield from self._list_entry_steps(state, entry)
            if state['flight'][entry]:
                yield (
                    f'dispatch {entry} arrives',
                    self._arrive(state, entry),
                )

    def _arrive(self, state, entry):
        changes = {'flight': put(state['flight'], entry, False)}
        known = state['attempts'][entry] != UNSEEN
        if known and self.has('dedup'):
            return changes
        if state['attempts'][entry] == TOMBSTONE:
            return changes
        changes['attempts'] = put(state['attempts'], entry, RAN)
        changes['ran'] = put(state['ran'], entry, state['ran'][entry] + 1)
        return changes

    def _list_entry_steps(self, state, entry):
        phase = state['phase'][entry]
        if phase in (ANSWERED, NOT_RUN, MAY_HAVE_RUN, DEAD):
            return
        yield (
            f'entry {entry} dies',
            {'phase': put(state['phase'], entry, DEAD)},
        )
        if state['entry_roster'][entry] < state['roster']:
            yield (
                f'entry {entry} adopts roster 2',
                self._adopt(state, entry),
            )
        if phase == START:
            yield from self._look_up(state, entry)
        elif phase in (PRIMARY, BACKUP):
            yield self._store(state, entry, phase)
        elif phase == WAIT:
            yield from self._wait(state, entry)
            if state['flight'][entry] is False and not self.has('dedup'):
                yield (
                    f'dispatch {entry} is sent again',
                    {'flight': put(state['flight'], entry, True)},
                )
        elif phase == REPEAT:
            yield self._repeat(state, entry)

    def _adopt(self, state, entry):
        changes = {'entry_roster': put(state['entry_roster'], entry, 2)}
        phase = state['phase'][entry]
        if phase in (PRIMARY, BACKUP) and self.has('same roster'):
            changes |= self._start_anew(state, entry)
        return changes

    def _start_anew(self, state, entry):
        """Go back to the look-up, unless an earlier holder is known."""
        phase = START
        if state['expected'][entry]:
            phase = PRIMARY
        return {'phase': put(state['phase'], entry, phase)}

    def _sync(self, state, entry, home):
        """Bring a home and an entry that talk to the higher roster."""
        higher = max(state['home_roster'][home], state['entry_roster'][entry])
        return {
            'home_roster': put(state['home_roster'], home, higher),
            'entry_roster': put(state['entry_roster'], entry, higher),
        }

    def _look_up(self, state, entry):
        """Ask a home of the earlier roster, or start with a claim."""
        own = (entry + 1, 1)
        version = state['entry_roster'][entry]
        pair = self._pairs[version]
        start = {
            'phase': put(state['phase'], entry, PRIMARY),
            'record': put(state['record'], entry, own),
            'expected': put(state['expected'], entry, 0),
            'claimed_before_restart': put(
                state['claimed_before_restart'],
                entry,
                not state['restarted'],
            ),
        }
        must_ask = version == 2 and pair[0] not in self._pairs[1]
        if not must_ask or not self.has('ask earlier homes'):
            yield f'entry {entry} starts', start
            return
        alive = [home for home in self._pairs[1] if state['home_up'][home]]
        for home in alive:
            changes = dict(start, **self._sync(state, entry, home))
            found = state['records'][home]
            if found != NONE:
                changes['record'] = put(state['record'], entry, found)
            yield f'entry {entry} asks home {home}', changes
        if not alive:
            yield (
                f'entry {entry} finds no earlier home',
                {'phase': put(state['phase'], entry, NOT_RUN)},
            )

    def _store(self, state, entry, phase):
        """Claim at one home of the pair."""
        version = state['entry_roster'][entry]
        pair = self._pairs[version]
        if not self.has('same roster'):
            # The mutant goes on with the pair that it began with.
            first = self._pairs[1][0]
            if state['records'][first] == state['record'][entry]:
                pair = self._pairs[1]
        home = pair[0 if phase == PRIMARY else 1]
        label = f'entry {entry} claims at home {home}'
        if not state['home_up'][home]:
            return (
                f'{label}, which is dead',
                {'phase': put(state['phase'], entry, NOT_RUN)},
            )
        if state['home_roster'][home] > version and self.has('one roster'):
            changes = self._sync(state, entry, home)
            if self.has('same roster'):
                changes |= self._start_anew(state, entry)
            return f'{label}, which has a newer roster', changes
        changes = {}
        if self.has('one roster'):
            changes = self._sync(state, entry, home)
        record = state['record'][entry]
        outcome, kept = claim(
            state['records'][home],
            record,
            state['expected'][entry],
            self.has('generation'),
        )
        if outcome == 'held':
            changes['record'] = put(state['record'], entry, kept)
            changes['phase'] = put(state['phase'], entry, REPEAT)
            return f'{label}: held', changes
        changes['records'] = put(state['records'], home, kept)
        changes |= self._pass_on(state, entry, phase, record)
        return f'{label}: granted', changes

    def _pass_on(self, state, entry, phase, record):
        """Go on after a granted claim."""
        if phase == PRIMARY and self.has('both homes'):
            return {'phase': put(state['phase'], entry, BACKUP)}
        if record[0] != entry + 1:
            return {'phase': put(state['phase'], entry, REPEAT)}
        forgotten = state['claimed_before_restart'][entry]
        if forgotten and state['restarted'] and self.has('same start'):
            # The endpoint may have refused this attempt and forgotten it.
            return {'phase': put(state['phase'], entry, NOT_RUN)}
        return {
            'phase': put(state['phase'], entry, WAIT),
            'flight': put(state['flight'], entry, True),
        }

    def _wait(self, state, entry):
        attempt = state['attempts'][entry]
        if attempt == RAN:
            yield (
                f'entry {entry} gets the answer',
                {'phase': put(state['phase'], entry, ANSWERED)},
            )
        if attempt == TOMBSTONE and not state['flight'][entry]:
            yield (
                f'entry {entry} is refused',
                {'phase': put(state['phase'], entry, NOT_RUN)},
            )
        if attempt == UNSEEN and not state['flight'][entry]:
            yield (
                f'entry {entry} loses the session',
                {'phase': put(state['phase'], entry, MAY_HAVE_RUN)},
            )

    def _repeat(self, state, entry):
        """Ask the endpoint for the outcome of the attempt that holds."""
        attempt, generation = state['record'][entry]
        other = attempt - 1
        label = f'entry {entry} asks for attempt {other}'
        unknown = state['claimed_before_restart'][other]
        if unknown and state['restarted'] and self.has('incarnation'):
            return (
                f'{label}, but the endpoint has restarted',
                {'phase': put(state['phase'], entry, MAY_HAVE_RUN)},
            )
        if state['attempts'][other] == RAN:
            return (
                f'{label}: answered',
                {'phase': put(state['phase'], entry, ANSWERED)},
            )
        changes = {}
        if self.has('tombstone'):
            changes['attempts'] = put(state['attempts'], other, TOMBSTONE)
        if other == entry:
            changes['phase'] = put(state['phase'], entry, NOT_RUN)
            return f'{label}: not run', changes
        changes['phase'] = put(state['phase'], entry, PRIMARY)
        changes['record'] = put(
            state['record'], entry, (entry + 1, generation + 1)
        )
        changes['expected'] = put(state['expected'], entry, generation)
        changes['claimed_before_restart'] = put(
            state['claimed_before_restart'], entry, not state['restarted']
        )
        return f'{label}: not run', changes


def _may_run(state, entry):
    """Return whether an entry's own attempt can still run."""
    return state['flight'][entry] and state['attempts'][entry] == UNSEEN
