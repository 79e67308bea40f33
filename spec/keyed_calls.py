"""Model of one keyed call: key records, dispatch, verdicts and replays.

Entries 0 and 1 serve calls with the same key; entry N dispatches attempt N.
The key has a primary and a backup home in roster 1, and other ones in roster
2, which may come into force at any time. A dispatch may arrive late or never.
Home 0 may die with its records, the endpoint may restart and lose the outcomes
of its attempts, and an entry may die at any step.
"""

from states import Model
from states import replace_at

__all__ = ['KeyedCalls']

# Phases of an entry in progress.
LOOK_UP, CLAIM_PRIMARY, CLAIM_BACKUP, AWAIT_OUTCOME, REPLAY = (
    'look-up',
    'claim-primary',
    'claim-backup',
    'await-outcome',
    'replay',
)
# Final phases of an entry.
ANSWERED, NOT_RUN, MAY_HAVE_RUN, DEAD = 'answered', 'not-run', 'may', 'dead'
# States of an attempt at the endpoint; a tombstone refuses it for good.
UNKNOWN, RAN, TOMBSTONE = 'unknown', 'ran', 'tombstone'
NO_RECORD = (0, 0)
HOME_COUNT = 4


def claim(current, record, replaced_generation, checks_generation=True):
    """Return ``(outcome, record kept)`` of a claim at one home.

    A record is ``(attempt, generation)``, where ``attempt`` is the number of
    the entry plus 1, so that no record equals ``NO_RECORD``.

    :param current: record at the home, or ``NO_RECORD``
    :param record: record of the claim
    :param replaced_generation: generation of the record that the claim may
        replace; 0 for none
    :param checks_generation: False in the mutant without the guard
        ``generation``
    """
    if current == NO_RECORD:
        return 'granted', record
    if current[0] == record[0]:
        return 'granted', current
    if checks_generation and current[1] != replaced_generation:
        return 'held', current
    return 'granted', record


class KeyedCalls(Model):
    """The protocol of :mod:`clementineline.coordination.keys`.

    :param roster_2_homes: primary and backup home of the key in roster 2;
        numbers from 0 to 3. The homes in roster 1 are 0 and 1.
    """

    NAME = 'keyed calls'
    FIELDS = {
        # Version of the roster in force, and the version that each entry and
        # each home knows.
        'roster': 1,
        'entry_roster': (1, 1),
        'home_roster': (1,) * HOME_COUNT,
        'home_up': (True,) * HOME_COUNT,
        # Record of the key at each home.
        'home_records': (NO_RECORD,) * HOME_COUNT,
        'phase': (LOOK_UP, LOOK_UP),
        # Record that each entry claims or replays.
        'entry_record': (NO_RECORD, NO_RECORD),
        # Generation of the record that each entry's claim replaces.
        'replaced_generation': (0, 0),
        # Whether the dispatch of each attempt is in flight.
        'in_flight': (False, False),
        'attempt_states': (UNKNOWN, UNKNOWN),
        # Whether the endpoint has restarted.
        'restarted': False,
        # Whether each entry began its claim before the restart.
        'claimed_before_restart': (False, False),
        # How often the endpoint has run each attempt.
        'run_counts': (0, 0),
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
        'at most one run': lambda state: sum(state['run_counts']) <= 1,
        'a true not-run': lambda state: all(
            not (
                state['phase'][entry] == NOT_RUN
                and (
                    state['run_counts'][entry] or _can_still_run(state, entry)
                )
            )
            for entry in (0, 1)
        ),
    }

    def __init__(self, removed_guard='', roster_2_homes=(1, 2)):
        super().__init__(removed_guard)
        self._homes_by_roster = {1: (0, 1), 2: roster_2_homes}

    def list_steps(self, state):
        """Yield each step from a state."""
        if state['roster'] == 1:
            yield 'roster 2 is written', {'roster': 2}
        if state['home_up'][0]:
            yield (
                'home 0 dies',
                {
                    'home_up': replace_at(state['home_up'], 0, False),
                    'home_records': replace_at(
                        state['home_records'], 0, NO_RECORD
                    ),
                },
            )
        if not state['restarted']:
            yield (
                'the endpoint restarts',
                {
                    'restarted': True,
                    'attempt_states': (UNKNOWN, UNKNOWN),
                    'in_flight': (False, False),
                },
            )
        for home in range(HOME_COUNT):
            if state['home_roster'][home] < state['roster']:
                yield (
                    f'home {home} adopts roster 2',
                    {'home_roster': replace_at(state['home_roster'], home, 2)},
                )
        for entry in (0, 1):
            yield from self._list_entry_steps(state, entry)
            if state['in_flight'][entry]:
                yield (
                    f'dispatch {entry} arrives',
                    self._deliver_dispatch(state, entry),
                )

    def _deliver_dispatch(self, state, entry):
        changes = {'in_flight': replace_at(state['in_flight'], entry, False)}
        is_known = state['attempt_states'][entry] != UNKNOWN
        if is_known and self.has_guard('dedup'):
            return changes
        if state['attempt_states'][entry] == TOMBSTONE:
            return changes
        changes['attempt_states'] = replace_at(
            state['attempt_states'], entry, RAN
        )
        changes['run_counts'] = replace_at(
            state['run_counts'], entry, state['run_counts'][entry] + 1
        )
        return changes

    def _list_entry_steps(self, state, entry):
        phase = state['phase'][entry]
        if phase in (ANSWERED, NOT_RUN, MAY_HAVE_RUN, DEAD):
            return
        yield (
            f'entry {entry} dies',
            {'phase': replace_at(state['phase'], entry, DEAD)},
        )
        if state['entry_roster'][entry] < state['roster']:
            yield (
                f'entry {entry} adopts roster 2',
                self._adopt_roster(state, entry),
            )
        if phase == LOOK_UP:
            yield from self._list_look_up_steps(state, entry)
        elif phase in (CLAIM_PRIMARY, CLAIM_BACKUP):
            yield self._claim_at_home(state, entry, phase)
        elif phase == AWAIT_OUTCOME:
            yield from self._list_outcome_steps(state, entry)
            if state['in_flight'][entry] is False and not self.has_guard(
                'dedup'
            ):
                yield (
                    f'dispatch {entry} is sent again',
                    {'in_flight': replace_at(state['in_flight'], entry, True)},
                )
        elif phase == REPLAY:
            yield self._replay(state, entry)

    def _adopt_roster(self, state, entry):
        changes = {'entry_roster': replace_at(state['entry_roster'], entry, 2)}
        phase = state['phase'][entry]
        if phase in (CLAIM_PRIMARY, CLAIM_BACKUP) and self.has_guard(
            'same roster'
        ):
            changes |= self._restart_claim(state, entry)
        return changes

    def _restart_claim(self, state, entry):
        """Return the changes that restart a claim under the new roster.

        The look-up is repeated, unless the claim replaces a known record.
        """
        phase = LOOK_UP
        if state['replaced_generation'][entry]:
            phase = CLAIM_PRIMARY
        return {'phase': replace_at(state['phase'], entry, phase)}

    def _sync_rosters(self, state, entry, home):
        """Return the changes after an entry and a home exchange rosters.

        Both then know the higher of their two rosters.
        """
        higher = max(state['home_roster'][home], state['entry_roster'][entry])
        return {
            'home_roster': replace_at(state['home_roster'], home, higher),
            'entry_roster': replace_at(state['entry_roster'], entry, higher),
        }

    def _list_look_up_steps(self, state, entry):
        """Yield queries of the homes in roster 1, or the start of a claim."""
        own_record = (entry + 1, 1)
        version = state['entry_roster'][entry]
        homes = self._homes_by_roster[version]
        claim_changes = {
            'phase': replace_at(state['phase'], entry, CLAIM_PRIMARY),
            'entry_record': replace_at(
                state['entry_record'], entry, own_record
            ),
            'replaced_generation': replace_at(
                state['replaced_generation'], entry, 0
            ),
            'claimed_before_restart': replace_at(
                state['claimed_before_restart'],
                entry,
                not state['restarted'],
            ),
        }
        # A primary that was a home in roster 1 already holds the key's record,
        # if there is one.
        must_ask = version == 2 and homes[0] not in self._homes_by_roster[1]
        if not must_ask or not self.has_guard('ask earlier homes'):
            yield f'entry {entry} starts', claim_changes
            return
        alive = [
            home for home in self._homes_by_roster[1] if state['home_up'][home]
        ]
        for home in alive:
            changes = dict(
                claim_changes, **self._sync_rosters(state, entry, home)
            )
            found = state['home_records'][home]
            if found != NO_RECORD:
                changes['entry_record'] = replace_at(
                    state['entry_record'], entry, found
                )
            yield f'entry {entry} asks home {home}', changes
        if not alive:
            yield (
                f'entry {entry} finds no earlier home',
                {'phase': replace_at(state['phase'], entry, NOT_RUN)},
            )

    def _claim_at_home(self, state, entry, phase):
        """Return the step of a claim at the primary or backup home."""
        version = state['entry_roster'][entry]
        homes = self._homes_by_roster[version]
        if not self.has_guard('same roster'):
            # Without the guard, an entry that has claimed at the primary of
            # roster 1 continues with the homes of roster 1.
            first = self._homes_by_roster[1][0]
            if state['home_records'][first] == state['entry_record'][entry]:
                homes = self._homes_by_roster[1]
        home = homes[0 if phase == CLAIM_PRIMARY else 1]
        label = f'entry {entry} claims at home {home}'
        if not state['home_up'][home]:
            return (
                f'{label}, which is dead',
                {'phase': replace_at(state['phase'], entry, NOT_RUN)},
            )
        if state['home_roster'][home] > version and self.has_guard(
            'one roster'
        ):
            changes = self._sync_rosters(state, entry, home)
            if self.has_guard('same roster'):
                changes |= self._restart_claim(state, entry)
            return f'{label}, which has a newer roster', changes
        changes = {}
        if self.has_guard('one roster'):
            changes = self._sync_rosters(state, entry, home)
        record = state['entry_record'][entry]
        outcome, kept = claim(
            state['home_records'][home],
            record,
            state['replaced_generation'][entry],
            self.has_guard('generation'),
        )
        if outcome == 'held':
            changes['entry_record'] = replace_at(
                state['entry_record'], entry, kept
            )
            changes['phase'] = replace_at(state['phase'], entry, REPLAY)
            return f'{label}: held', changes
        changes['home_records'] = replace_at(state['home_records'], home, kept)
        changes |= self._handle_grant(state, entry, phase, record)
        return f'{label}: granted', changes

    def _handle_grant(self, state, entry, phase, record):
        """Return the changes after a granted claim."""
        if phase == CLAIM_PRIMARY and self.has_guard('both homes'):
            return {'phase': replace_at(state['phase'], entry, CLAIM_BACKUP)}
        if record[0] != entry + 1:
            # The record came from a home of roster 1 and is that of the other
            # entry's attempt.
            return {'phase': replace_at(state['phase'], entry, REPLAY)}
        claimed_before_restart = state['claimed_before_restart'][entry]
        if (
            claimed_before_restart
            and state['restarted']
            and self.has_guard('same start')
        ):
            # The endpoint may have refused this attempt before its restart,
            # and has then lost the tombstone.
            return {'phase': replace_at(state['phase'], entry, NOT_RUN)}
        return {
            'phase': replace_at(state['phase'], entry, AWAIT_OUTCOME),
            'in_flight': replace_at(state['in_flight'], entry, True),
        }

    def _list_outcome_steps(self, state, entry):
        attempt_state = state['attempt_states'][entry]
        if attempt_state == RAN:
            yield (
                f'entry {entry} gets the answer',
                {'phase': replace_at(state['phase'], entry, ANSWERED)},
            )
        if attempt_state == TOMBSTONE and not state['in_flight'][entry]:
            yield (
                f'entry {entry} is refused',
                {'phase': replace_at(state['phase'], entry, NOT_RUN)},
            )
        if attempt_state == UNKNOWN and not state['in_flight'][entry]:
            yield (
                f'entry {entry} loses the session',
                {'phase': replace_at(state['phase'], entry, MAY_HAVE_RUN)},
            )

    def _replay(self, state, entry):
        """Return the step that asks the endpoint for an attempt's outcome.

        The attempt is the one that already holds the key.
        """
        attempt, generation = state['entry_record'][entry]
        other = attempt - 1
        label = f'entry {entry} asks for attempt {other}'
        claimed_before_restart = state['claimed_before_restart'][other]
        if (
            claimed_before_restart
            and state['restarted']
            and self.has_guard('incarnation')
        ):
            return (
                f'{label}, but the endpoint has restarted',
                {'phase': replace_at(state['phase'], entry, MAY_HAVE_RUN)},
            )
        if state['attempt_states'][other] == RAN:
            return (
                f'{label}: answered',
                {'phase': replace_at(state['phase'], entry, ANSWERED)},
            )
        changes = {}
        if self.has_guard('tombstone'):
            changes['attempt_states'] = replace_at(
                state['attempt_states'], other, TOMBSTONE
            )
        if other == entry:
            changes['phase'] = replace_at(state['phase'], entry, NOT_RUN)
            return f'{label}: not run', changes
        changes['phase'] = replace_at(state['phase'], entry, CLAIM_PRIMARY)
        changes['entry_record'] = replace_at(
            state['entry_record'], entry, (entry + 1, generation + 1)
        )
        changes['replaced_generation'] = replace_at(
            state['replaced_generation'], entry, generation
        )
        changes['claimed_before_restart'] = replace_at(
            state['claimed_before_restart'], entry, not state['restarted']
        )
        return f'{label}: not run', changes


def _can_still_run(state, entry):
    """Return whether the dispatch of an entry's attempt may yet run."""
    return (
        state['in_flight'][entry] and state['attempt_states'][entry] == UNKNOWN
    )
