"""Requests under which endpoints ended.

A request may end every endpoint that runs it. Each process notes the endpoints
that ended while they held a request, and tells the others; after a few of them
the request is not sent any more. A crash for another reason leaves one mark on
each request that the endpoint held, which changes nothing: only a second
endpoint makes a request suspect. An answer to the same request clears it, so
that crashes which are far apart do not add up for a common request.
"""

import asyncio
import hashlib

from clementineline.coordination import peers
from clementineline.coordination import rendezvous
from clementineline.coordination import telling
from clementineline import errors
from clementineline.state import questions

__all__ = ['QUESTIONS', 'CrashRecord', 'identify_request', 'name_instance']

# The second endpoint may end while a hedge is at a third one, so the limit
# keeps a request from ending more than three.
ENDED_MAX = 2
KEEP_S = 300.0
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


def _list_counted(marks):
    """Return the instances that count against a request, sorted."""
    return sorted(marks.ended - marks.cleared)


class CrashRecord:
    """The endpoints that ended under each request, as far as it is known.

    :param name: name of this process
    :param members: the :class:`~members.MemberRegistry`
    :param start: function that starts a coroutine as a task
    :param log: logger
    :ivar on_ended: called with the instances that another process found to
        have ended
    :ivar refused: number of times that a request was not sent any more
    """

    __slots__ = (
        '_log',
        '_marks',
        '_members',
        '_name',
        '_noted_at',
        '_peers',
        '_teller',
        'on_ended',
        'refused',
    )

    def __init__(self, name, members, start, log):
        # Marks, and loop times of their last change, by request; the oldest
        # change comes first. Both sets of a request's marks only grow, so the
        # processes agree in whatever order they are told.
        self._marks = {}
        self._noted_at = {}
        self._log = log
        self._members = members
        self._name = name
        self._peers = peers.PeerClients(members, telling.BACKOFF_S)
        self._teller = telling.Teller(
            members,
            self._ask_member,
            start,
            questions.TellCrashes,
            TELL_DELAY_S,
        )
        self.on_ended = lambda instances: None
        self.refused = 0

    def __len__(self):
        return sum(bool(_list_counted(each)) for each in self._marks.values())

    def note(self, head, body, request_id, state):
        """Note that an endpoint ended while it held a request.

        :param head: the request's :class:`~http.Head`
        :param state: the endpoint's :class:`~directory.EndpointState`
        """
        key = identify_request(head, body)
        marks = questions.CrashMarks(ended=frozenset([name_instance(state)]))
        counted = _list_counted(self._merge(key, marks))
        self._log.warning(
            'endpoint ended under a request',
            request=request_id,
            endpoint=state.id,
            ended=counted,
            sent_again=len(counted) < ENDED_MAX,
        )
        self._teller.tell_all(key, self._marks[key])

    def clear(self, head, body, request_id):
        """Clear a request of the endpoints that ended: it was answered.

        :param head: the request's :class:`~http.Head`
        """
        if not self._marks:
            return
        key = identify_request(head, body)
        marks = self._marks.get(key)
        if marks is None or not _list_counted(marks):
            return
        self._log.info(
            'request answered after a crash',
            request=request_id,
            ended=_list_counted(marks),
        )
        self._merge(key, questions.CrashMarks(cleared=marks.ended))
        self._teller.tell_all(key, self._marks[key])

    def find_refusal(self, head, body, request_id):
        """Return why a request is not sent any more, '' if it may be sent.

        :param head: the request's :class:`~http.Head`
        """
        self._forget_old()
        if not self._marks:
            return ''
        marks = self._marks.get(identify_request(head, body))
        counted = _list_counted(marks) if marks else []
        if len(counted) < ENDED_MAX:
            return ''
        self.refused += 1
        self._log.warning(
            'request not sent any more', request=request_id, ended=counted
        )
        return f'{len(counted)} endpoints ended under this request'

    def _merge(self, key, marks):
        """Add marks to those of a request; return all of them."""
        self._forget_old()
        known = self._marks.pop(key, questions.CrashMarks())
        merged = questions.CrashMarks(
            known.ended | marks.ended, known.cleared | marks.cleared
        )
        self._marks[key] = merged
        self._noted_at[key] = asyncio.get_running_loop().time()
        if len(self._marks) > REQUESTS_MAX:
            self._forget(next(iter(self._marks)))
        return merged

    def _forget_old(self):
        now = asyncio.get_running_loop().time()
        while self._marks:
            key = next(iter(self._marks))
            if now - self._noted_at[key] < KEEP_S:
                return
            self._forget(key)

    def _forget(self, key):
        del self._marks[key]
        del self._noted_at[key]

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
        for key, marks in told.items():
            self._merge(key, marks)
            self.on_ended(marks.ended)

    async def answer(self, question):
        """Answer another process.

        :param question: one of ``QUESTIONS``
        """
        if isinstance(question, questions.TellCrashes):
            self._learn(question.marks)
            return questions.Acknowledged()
        return questions.CrashesAnswer(dict(self._marks))
