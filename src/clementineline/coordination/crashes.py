"""Requests under which endpoints ended.

A request may end every endpoint that runs it. Each process notes the endpoints
that ended while they held a request, and tells the others; after a few of them
the request is not sent any more. A crash for another reason leaves a mark on
each request that the endpoint held. Such marks must not bar a common request,
so endpoints count separately only if the request was sent to one after the
other had ended, an answer to the same request clears it, and a request that is
barred is tried again from time to time.
"""

import asyncio
import hashlib

from clementineline.coordination import crashmarks
from clementineline.coordination import peers
from clementineline.coordination import rendezvous
from clementineline.coordination import telling
from clementineline import errors
from clementineline.protocol import verdicts
from clementineline.state import questions

__all__ = [
    'QUESTIONS',
    'CrashRecord',
    'Trial',
    'identify_request',
    'name_instance',
]

# The second endpoint may end while a hedge is at a third one, so the limit
# keeps a request from ending more than three.
ENDED_MAX = 2
# Time after the last end for which the ends under a request count.
KEEP_S = 300.0
# Time from the last end to the first trial of a request that is not sent any
# more. Endpoints that crash are mostly back by then.
TRIAL_PAUSE_S = 5.0
# Factor by which the pause grows with each trial that ends an endpoint.
TRIAL_PAUSE_FACTOR = 4.0
REQUESTS_MAX = 10_000
ASK_TIMEOUT_S = 0.5
# A caller repeats a request some tens of milliseconds after a failure, at
# another process.
TELL_DELAY_S = 0.0
MEMBERS_ASKED_MAX = 3
QUESTIONS = questions.TellCrashes | questions.ReadCrashes


def identify_request(head, body):
    """Return what a request and its repetitions have in common.

    Each attempt of a caller has its own id, so the id does not count.

    :param head: the request's :class:`~http.Head`
    :returns: str
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (head.method, head.target, body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    for key, value in head.headers:
        if key.lower() == b'host':
            digest.update(value)
    return digest.hexdigest()


def name_instance(state):
    """Return the name of an endpoint's instance, as marks contain it."""
    endpoint_id, born_ms = state.instance
    return f'{endpoint_id}@{born_ms}'


def _is_old(marks):
    """Return whether no endpoint has ended under a request for long.

    Trials do not prolong it, and neither does telling other processes.
    """
    return asyncio.get_running_loop().time() - marks.ended_at >= KEEP_S


def _build_question(marks):
    """Build the question that tells marks.

    :param marks: dict from a request to its :class:`~crashmarks.Marks`
    """
    now = asyncio.get_running_loop().time()
    stated = {}
    for key, known in marks.items():
        stated[key] = crashmarks.encode_marks(known, now)
    return questions.TellCrashes(stated)


def _choose_trial_time(marks, rounds):
    """Return the loop time of a barred request's next trial, in seconds.

    :param rounds: how often an endpoint ended, at least ``ENDED_MAX``
    """
    pause_s = TRIAL_PAUSE_S * TRIAL_PAUSE_FACTOR ** (rounds - ENDED_MAX)
    return max(marks.ended_at, marks.tried_at) + pause_s


class Trial:
    """The trial of a barred request that a call may hold.

    It is spent by the first attempt that may have run. An attempt that found
    no endpoint, or one that refused it, leaves it to the next attempt.

    :ivar granted: whether the last attempt is the trial
    :ivar left: whether the next attempt is the trial
    """

    __slots__ = ('granted', 'left')

    def __init__(self):
        self.granted = False
        self.left = False

    def note_verdict(self, verdict):
        """Note the verdict of an attempt."""
        self.left = self.granted and isinstance(verdict, verdicts.NotRun)
        self.granted = False


class CrashRecord:
    """The endpoints that ended under each request, as far as it is known.

    :param name: name of this process
    :param members: the :class:`~members.MemberRegistry`
    :param start: function that starts a coroutine as a task
    :param log: logger
    :ivar on_ended: called with the instances that another process found to
        have ended
    :ivar refused: number of times that a request was not sent any more
    :ivar trials: number of times that such a request was tried again
    """

    __slots__ = (
        '_log',
        '_marks',
        '_members',
        '_name',
        '_peers',
        '_teller',
        'on_ended',
        'refused',
        'trials',
    )

    def __init__(self, name, members, start, log):
        # Marks by request; the oldest change comes first.
        self._marks = {}
        self._log = log
        self._members = members
        self._name = name
        self._peers = peers.PeerClients(members, telling.BACKOFF_S)
        self._teller = telling.Teller(
            members,
            self._ask_member,
            start,
            _build_question,
            TELL_DELAY_S,
        )
        self.on_ended = lambda instances: None
        self.refused = 0
        self.trials = 0

    def __len__(self):
        return sum(bool(each.list_counted()) for each in self._marks.values())

    def note(self, head, body, request_id, state, sent_at):
        """Note that an endpoint ended while it held a request.

        :param head: the request's :class:`~http.Head`
        :param state: the endpoint's :class:`~directory.EndpointState`
        :param sent_at: loop time at which the request was sent to it, in
            seconds
        """
        key = identify_request(head, body)
        now = asyncio.get_running_loop().time()
        marks = self._merge(
            key,
            crashmarks.Marks(
                {name_instance(state): crashmarks.End(sent_at, now)}
            ),
        )
        rounds = marks.count_rounds()
        self._log.warning(
            'endpoint ended under a request',
            request=request_id,
            endpoint=state.id,
            ended=marks.list_counted(),
            rounds=rounds,
            sent_again=rounds < ENDED_MAX,
        )
        self._teller.tell_all(key, self._marks[key])

    def clear(self, head, body, request_id):
        """Clear a request of the endpoints that ended: it was answered.

        :param head: the request's :class:`~http.Head`
        """
        if not self._marks:
            return
        key = identify_request(head, body)
        marks = self._get_marks(key)
        if not marks.list_counted():
            return
        self._log.info(
            'request answered after a crash',
            request=request_id,
            ended=marks.list_counted(),
        )
        self._merge(key, crashmarks.Marks(cleared=frozenset(marks.ends)))
        self._teller.tell_all(key, self._marks[key])

    def find_refusal(self, head, body, request_id, trial=None):
        """Return why a request is not sent any more, '' if it may be sent.

        Only an answer clears a barred request, so it may be sent once in a
        while. The trial counts for all processes, and an attempt that follows
        it is refused.

        :param head: the request's :class:`~http.Head`
        :param trial: the :class:`Trial` of the call
        """
        trial = trial or Trial()
        if trial.left:
            trial.granted, trial.left = True, False
            return ''
        self._forget_old()
        if not self._marks:
            return ''
        key = identify_request(head, body)
        marks = self._get_marks(key)
        rounds = marks.count_rounds()
        if rounds < ENDED_MAX:
            return ''
        now = asyncio.get_running_loop().time()
        trial_at = _choose_trial_time(marks, rounds)
        if now >= trial_at:
            self.trials += 1
            trial.granted = True
            self._log.warning(
                'request tried again',
                request=request_id,
                ended=marks.list_counted(),
                rounds=rounds,
            )
            self._teller.tell_all(
                key, self._merge(key, crashmarks.Marks(tried_at=now))
            )
            return ''
        self.refused += 1
        self._log.warning(
            'request not sent any more',
            request=request_id,
            ended=marks.list_counted(),
            rounds=rounds,
            trial_in_s=round(trial_at - now, 2),
        )
        return f'endpoints ended under this request {rounds} times in a row'

    def _merge(self, key, marks):
        """Add marks to those of a request; return all of them."""
        merged = self._get_marks(key).merge(marks)
        self._marks.pop(key, None)
        self._marks[key] = merged
        if len(self._marks) > REQUESTS_MAX:
            del self._marks[next(iter(self._marks))]
        return merged

    def _get_marks(self, key):
        """Return the marks of a request, without those that are too old."""
        marks = self._marks.get(key)
        if marks is None or _is_old(marks):
            return crashmarks.Marks()
        return marks

    def _forget_old(self):
        while self._marks:
            key = next(iter(self._marks))
            if not _is_old(self._marks[key]):
                return
            del self._marks[key]

    # Other processes.

    async def _ask_member(self, name, question):
        if not self._peers.may_ask(name):
            return None
        try:
            return await self._peers.ask(name, question, ASK_TIMEOUT_S)
        except errors.ConnectionLost as error:
            self._log.info(
                'member did not answer about crashes',
                member=name,
                reason=str(error),
            )
            return None

    async def gather(self):
        """Ask some processes what they know, since this one has started."""
        names = rendezvous.rank(self._name, self._members.addresses)
        for name in names[:MEMBERS_ASKED_MAX]:
            answer = await self._ask_member(name, questions.ReadCrashes())
            if isinstance(answer, questions.CrashesAnswer):
                self._learn(answer.marks)

    def _learn(self, told):
        """Add what another process told.

        :param told: dict from a request to its :class:`~questions.CrashMarks`
        """
        now = asyncio.get_running_loop().time()
        for key, stated in told.items():
            marks = crashmarks.decode_marks(stated, now)
            if _is_old(marks):
                continue
            self._merge(key, marks)
            self.on_ended(stated.ended)

    async def answer(self, question):
        """Answer another process.

        :param question: one of ``QUESTIONS``
        """
        if isinstance(question, questions.TellCrashes):
            self._learn(question.marks)
            return questions.Acknowledged()
        self._forget_old()
        return questions.CrashesAnswer(_build_question(self._marks).marks)
