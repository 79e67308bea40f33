"""Order in which the leader starts the items of open submissions.

Where no organisations are in force, submissions go from the oldest to the
newest. Where they are, :mod:`fairness` ranks those that compete with another
organisation for an engine; this module gives it the costs of their items, in
tokens that are expected to be generated. A step whose engines no other
organisation waits for stays in the order of age, longest items first: its
trainer needs it before the next one, also if it is late.
"""

import math

from clementineline.coordination import fairness
from clementineline.coordination import placement
from clementineline.coordination import stragglers

__all__ = ['FairOrder', 'Turn', 'estimate_tokens', 'get_organisation']

# Submissions are ranked again after this time, or when one more or less waits.
# It is a small part of the 7.5 s in which steps are due, and keeps the cost
# low while items start at each free slot.
RANK_INTERVAL_S = 0.2
# The engines of a pool and their pace change little in this time, and there
# may be thousands of them.
RATE_INTERVAL_S = 0.5
# Share of a step's groups that must be complete when its results are due.
GROUPS_SHARE = 0.9


def estimate_tokens(run, event_tokens):
    """Estimate the number of tokens that an item run still generates.

    A run that has passed its estimate is expected to last longer.

    :param run: the :class:`~itemruns.ItemRun`
    :param event_tokens: tokens per event
    """
    if run.whole:
        return 0.0
    item = run.item
    expected = item.length_hint or item.tokens - item.prompt_tokens
    received = len(run.texts) * event_tokens
    return max(expected - received, received / 2, event_tokens)


class Turn:
    """A turn of a submission to start waiting items.

    :param entry: the :class:`~opensubmissions.OpenSubmission`
    :param groups: the groups whose items may start, None for all
    :param tokens: tokens after which no further item starts, None for no limit
    """

    __slots__ = ('entry', 'groups', 'tokens')

    def __init__(self, entry, groups=None, tokens=None):
        self.entry = entry
        self.groups = groups
        self.tokens = tokens

    def allows(self, run):
        """Return whether an item may start in this turn."""
        if self.tokens is not None and self.tokens <= 0:
            return False
        return self.groups is None or run.item.group in self.groups


class _Ranked:
    """The last ranking.

    :param at: loop time, in seconds
    :param ids: ids of the submissions that waited
    :param turns: the turns, in order
    """

    __slots__ = ('at', 'ids', 'turns')

    def __init__(self, at, ids, turns):
        self.at = at
        self.ids = ids
        self.turns = turns


class FairOrder:
    """Orders open submissions, and counts what each organisation is served.

    :param get_routes: function that returns the route table in force
    :param list_engines: function from a submission to the engines that may
        run its items
    :param log: logger
    :ivar on_served: called with an organisation and the tokens that a run of
        it generated
    :ivar waiting: dict from organisation to the tokens that wait, as of the
        last ranking
    """

    __slots__ = (
        '_asked_for',
        '_get_routes',
        '_list_engines',
        '_log',
        '_queue',
        '_ranked',
        '_rates',
        '_standings',
        '_underserved',
        'on_served',
        'waiting',
    )

    def __init__(self, get_routes, list_engines, log):
        self._get_routes = get_routes
        self._list_engines = list_engines
        self._log = log
        self._queue = fairness.FairQueue()
        self._ranked = None
        # Loop time, tokens a second, time for an event and ids of the engines,
        # by pool.
        self._rates = {}
        # Last standing by submission id.
        self._standings = {}
        # Ids of the submissions whose work was counted as asked for.
        self._asked_for = set()
        self._underserved = set()
        self.on_served = lambda organisation, tokens: None
        self.waiting = {}

    @property
    def in_force(self):
        """Whether organisations are in force."""
        table = self._get_routes()
        return table is not None and table.organisations is not None

    def list(self, entries, now, unix_now):
        """List the turns in which waiting items may start, in order.

        :param entries: the :class:`~opensubmissions.OpenSubmission` objects,
            from the oldest to the newest
        :param now: loop time, in seconds
        :param unix_now: Unix time, in seconds
        :returns: list of :class:`Turn`; a submission may have several
        """
        waiting = {}
        open_ids = set()
        for entry in entries:
            if entry.ended:
                continue
            open_ids.add(entry.submission.id)
            if entry.waiting:
                waiting[entry.submission.id] = entry
        if not self.in_force:
            self.waiting = {}
            return [Turn(entry) for entry in waiting.values()]
        ids = tuple(waiting)
        if (
            self._ranked is None
            or self._ranked.ids != ids
            or now - self._ranked.at >= RANK_INTERVAL_S
        ):
            self._asked_for &= open_ids
            turns = self._rank(waiting, now, unix_now)
            self._ranked = _Ranked(now, ids, turns)
        turns = self._ranked.turns
        return self._list_underserved(turns) + turns

    def _list_underserved(self, turns):
        """Return the turns of organisations that are served too rarely."""
        first = {}
        for turn in turns:
            first.setdefault(get_organisation(turn.entry.submission), turn)
        found = []
        names = set()
        for name, tokens in self._queue.list_underserved():
            names.add(name)
            if name in first:
                found.append(Turn(first[name].entry, tokens=tokens))
        for name in names - self._underserved:
            self._log.info('organisation below its share', organisation=name)
        self._underserved = names
        return found

    def _rank(self, entries, now, unix_now):
        """Return the turns of the waiting submissions.

        :param entries: dict from id to
            :class:`~opensubmissions.OpenSubmission`
        """
        claims = []
        works = {}
        rates = {}
        alone = []
        self.waiting = {}
        self._measure_pools(entries.values(), now)
        contested = self._find_contested_pools(entries.values())
        for key, entry in entries.items():
            pool = _get_pool(entry.submission)
            _, rates[pool], event_s, _ = self._rates[pool]
            work = _SubmissionWork(entry, self._get_event_tokens(entry))
            works[key] = work
            name = get_organisation(entry.submission)
            self.waiting[name] = self.waiting.get(name, 0.0) + work.waiting
            if key not in self._asked_for:
                self._asked_for.add(key)
                self._queue.ask(name, work.waiting)
            if pool in contested:
                claims.append(self._build_claim(entry, pool, event_s, work))
                continue
            alone.append(Turn(entry))
            if self._standings.pop(key, None):
                # It was in the order of a late one.
                entry.waiting = placement.sort_waiting_runs(entry.waiting)
        self._queue.update(self.waiting, now)
        ranked = fairness.rank(claims, self._queue, rates, unix_now)
        for claim, standing in ranked:
            known = self._standings.get(claim.key, fairness.Standing.IN_TIME)
            if standing is not known:
                self._log_standing(claim, standing, rates, unix_now)
                if standing is fairness.Standing.IN_TIME:
                    # It was in the order of a late one.
                    entry = entries[claim.key]
                    entry.waiting = placement.sort_waiting_runs(entry.waiting)
        self._standings = {claim.key: held for claim, held in ranked}
        return alone + _build_turns(ranked, entries, works)

    def _find_contested_pools(self, entries):
        """Return the pools with an engine that several organisations want."""
        names = {}
        for entry in entries:
            pool = _get_pool(entry.submission)
            names.setdefault(pool, set()).add(
                get_organisation(entry.submission)
            )
        wanted = {}
        for pool, organisations in names.items():
            for engine_id in self._rates[pool][3]:
                wanted.setdefault(engine_id, set()).update(organisations)
        contested = set()
        for pool, organisations in names.items():
            if len(organisations) > 1:
                contested.add(pool)
                continue
            for engine_id in self._rates[pool][3]:
                if len(wanted[engine_id]) > 1:
                    contested.add(pool)
                    break
        return contested

    def _log_standing(self, claim, standing, rates, unix_now):
        self._log.info(
            'submission ranked',
            submission=claim.key,
            organisation=claim.organisation,
            standing=standing.name.lower(),
            left_s=round(min(claim.due_at - unix_now, 1e6), 2),
            tokens_needed=round(claim.needed),
            tokens_waiting=round(claim.waiting),
            tokens_per_s=round(rates.get(claim.pool) or 0.0),
        )

    def _build_claim(self, entry, pool, event_s, work):
        submission = entry.submission
        table = self._get_routes()
        route = table.find(submission.route)
        name = get_organisation(submission)
        priority = 0
        due_at = math.inf
        if route is not None:
            priority = table.get_priority(route, name)
            if route.due_s:
                due_at = submission.accepted_at + route.due_s
        event_tokens = self._get_event_tokens(entry)
        return fairness.Claim(
            submission.id,
            name,
            pool,
            priority,
            due_at,
            submission.accepted_at,
            work.waiting,
            work.needed,
            work.longest / event_tokens * event_s,
            work.begun,
        )

    def _get_service(self, submission):
        table = self._get_routes()
        return table.services.get(submission.service) if table else None

    def _get_event_tokens(self, entry):
        service = self._get_service(entry.submission)
        return service.event_tokens if service is not None else 1

    def _measure_pools(self, entries, now):
        """Measure the engines of the pools that submissions wait for."""
        oldest = {}
        for entry in entries:
            pool = _get_pool(entry.submission)
            known = oldest.setdefault(pool, entry.submission)
            if entry.submission.version_min < known.version_min:
                oldest[pool] = entry.submission
        measured = {}
        for pool, submission in oldest.items():
            found = self._rates.get(pool)
            if found is None or now - found[0] >= RATE_INTERVAL_S:
                found = (now, *self._measure_pool(submission, now))
            measured[pool] = found
        self._rates = measured

    def _measure_pool(self, submission, now):
        """Measure the engines that may run a submission's items.

        :returns: ``(rate, event_s, ids)`` with the tokens that they generate
            in a second, None if no pace is known, the time for an event, in
            seconds, and the ids of the engines
        """
        engines = []
        for state in self._list_engines(submission):
            if now < state.backoff_until:
                continue
            # An engine that loads is back long before a step is due.
            loading = submission.model in state.loading_models
            if placement.can_run(
                state, submission.model, submission.version_min
            ) or (loading and not state.leaving):
                engines.append(state)
        event_s = stragglers.find_typical_pace(engines)
        service = self._get_service(submission)
        ids = [state.id for state in engines]
        if event_s is None or service is None:
            return None, event_s or 0.0, ids
        slots = sum(state.record.slots for state in engines)
        return slots * service.event_tokens / event_s, event_s, ids

    def note_start(self, entry, run, turn=None):
        """Charge an organisation with a run that starts.

        :param turn: the :class:`Turn`, None for a run that is moved
        """
        if not self.in_force:
            return
        tokens = estimate_tokens(run, self._get_event_tokens(entry))
        name = get_organisation(entry.submission)
        run.charged = tokens
        floor = turn is not None and turn.tokens is not None
        self._queue.charge(name, tokens, floor)
        if floor:
            turn.tokens -= tokens

    def note_end(self, entry, run, events):
        """Replace the charge of a run by what it generated.

        :param events: number of events that this run received
        """
        charged, run.charged = run.charged, None
        if charged is None:
            return
        name = get_organisation(entry.submission)
        used = max(0, events) * self._get_event_tokens(entry)
        self._queue.correct(name, used - charged)
        self.on_served(name, used)


def get_organisation(submission):
    """Return the name of a submission's organisation, '' for none."""
    return submission.organisation or ''


def _get_pool(submission):
    """Return what tells the engines of a submission from others."""
    return submission.service, submission.model


class _SubmissionWork:
    """The work that is left of a submission, in tokens.

    :ivar waiting: tokens of the items that have not started
    :ivar needed: tokens of the cheapest groups that are enough
    :ivar longest: tokens of the longest item of these groups
    :ivar begun: whether an item has started
    :ivar needed_groups: the names of these groups
    :ivar ranks: dict from unfinished group to its rank: those that have begun
        come first, as their work would be lost, then the cheapest
    """

    __slots__ = (
        'begun',
        'longest',
        'needed',
        'needed_groups',
        'ranks',
        'waiting',
    )

    def __init__(self, entry, event_tokens):
        groups = {}
        started = set()
        for run in entry.runs.values():
            groups.setdefault(run.item.group, []).append(
                estimate_tokens(run, event_tokens)
            )
            if run.carried or run.first_started_at:
                started.add(run.item.group)
        self.waiting = 0.0
        for run in entry.waiting:
            self.waiting += estimate_tokens(run, event_tokens)
        total = len({item.group for item in entry.submission.items})
        finished = total - len(groups)
        wanted = min(entry.submission.groups_wanted or total, total)
        missing = math.ceil(wanted * GROUPS_SHARE) - finished
        self.begun = bool(started) or finished > 0
        ordered = sorted(
            groups,
            key=lambda name: (name not in started, sum(groups[name]), name),
        )
        self.ranks = {name: rank for rank, name in enumerate(ordered)}
        self.needed = 0.0
        self.longest = 0.0
        self.needed_groups = frozenset(ordered[: max(0, missing)])
        for name in self.needed_groups:
            self.needed += sum(groups[name])
            self.longest = max(self.longest, *groups[name])


def _build_turns(ranked, entries, works):
    """Build the turns of ranked submissions.

    Where some submission of a pool cannot be in time, whole groups come first:
    the others complete the groups that they need in time before the rest, and
    those that are late start the groups that are the first to be complete.

    :param ranked: list of ``(claim, standing)``
    :param entries: dict from id to :class:`~opensubmissions.OpenSubmission`
    :param works: dict from id to :class:`_SubmissionWork`
    """
    in_time = fairness.Standing.IN_TIME
    short = {claim.pool for claim, held in ranked if held is not in_time}
    turns = []
    later = []
    for claim, standing in ranked:
        entry = entries[claim.key]
        work = works[claim.key]
        if standing is not in_time:
            _sort_by_groups(entry, work.ranks)
            later.append(Turn(entry))
            continue
        if claim.pool not in short:
            turns.append(Turn(entry))
            continue
        turns.append(Turn(entry, work.needed_groups))
        later.append(Turn(entry))
    return turns + later


def _sort_by_groups(entry, ranks):
    entry.waiting.sort(
        key=lambda run: (
            not run.carried,
            ranks[run.item.group],
            -run.item.length_hint,
        )
    )
