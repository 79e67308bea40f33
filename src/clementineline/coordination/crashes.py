"""Requests under which endpoints ended.

A request may end every endpoint that runs it. Each process notes the endpoints
that ended while they held a request, and tells the others; after a few of them
the request is not sent any more. A crash for another reason leaves one mark on
each request that the endpoint held, which changes nothing: only a second
endpoint makes a request suspect.
"""

import asyncio
import hashlib

from clementineline.coordination import peers
from clementineline.coordination import rendezvous
from clementineline.coordination import telling
from clementineline import errors
from clementineline.state import questions

__all__ = ['CrashRecord', 'QUESTIONS', 'identify_request']

# The second endpoint may end while a hedge is at a third one, so the limit
# keeps a request from ending more than three.
ENDED_MAX = 2
KEEP_S = 600.0
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


class CrashRecord:
    """The endpoints that ended under each request, as far as it is known.

    :param name: name of this process
    :param members: the :class:`~members.MemberRegistry`
    :param start: function that starts a coroutine as a task
    :param log: logger
    :ivar refused: number of times that a request was not sent any more
    """

    __slots__ = (
        '_ended',
        '_log',
        '_members',
        '_name',
        '_noted_at',
        '_peers',
        '_teller',
        'refused',
    )

    def __init__(self, name, members, start, log):
        # Frozen sets of instances, and loop times of the last change, by
        # request; the oldest change comes first.
        self._ended = {}
        self._noted_at = {}
        self._log = log
        self._members = members
        self._name = name
        self._peers = peers.PeerClients(members, telling.BACKOFF_S)
        self._teller = telling.Teller(
            members,
            self._ask_member,
            start,
            self._build_question,
            TELL_DELAY_S,
        )
        self.refused = 0

    def __len__(self):
        return len(self._ended)

    def note(self, head, body, request_id, state):
        """Note that an endpoint ended while it held a request.

        :param head: the request's :class:`~http.Head`
        :param state: the endpoint's :class:`~directory.EndpointState`
        """
        key = identify_request(head, body)
        endpoint_id, born_ms = state.instance
        instances = self._add(key, {f'{endpoint_id}@{born_ms}'})
        self._log.warning(
            'endpoint ended under a request',
            request=request_id,
            endpoint=endpoint_id,
            ended=sorted(instances),
            sent_again=len(instances) < ENDED_MAX,
        )
        self._teller.tell_all(key, instances)

    def _add(self, key, instances):
        self._forget_old()
        known = self._ended.pop(key, frozenset()) | instances
        self._ended[key] = known
        self._noted_at[key] = asyncio.get_running_loop().time()
        if len(self._ended) > REQUESTS_MAX:
            self._forget(next(iter(self._ended)))
        return known

    def _forget_old(self):
        now = asyncio.get_running_loop().time()
        while self._ended:
            key = next(iter(self._ended))
            if now - self._noted_at[key] < KEEP_S:
                return
            self._forget(key)

    def _forget(self, key):
        del self._ended[key]
        del self._noted_at[key]

    def find_refusal(self, head, body, request_id):
        """Return why a request is not sent any more, '' if it may be sent.

        :param head: the request's :class:`~http.Head`
        """
        self._forget_old()
        if not self._ended:
            return ''
        ended = self._ended.get(identify_request(head, body), ())
        if len(ended) < ENDED_MAX:
            return ''
        self.refused += 1
        self._log.warning(
            'request not sent any more',
            request=request_id,
            ended=sorted(ended),
        )
        return f'{len(ended)} endpoints ended under this request'

    # Other processes.

    def _build_question(self, ended):
        return questions.TellCrashes(
            {key: sorted(instances) for key, instances in ended.items()}
        )

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
                self._learn(answer.ended)

    def _learn(self, ended):
        for key, instances in ended.items():
            self._add(key, set(instances))

    async def answer(self, question):
        """Answer another process.

        :param question: one of ``QUESTIONS``
        """
        if isinstance(question, questions.TellCrashes):
            self._learn(question.ended)
            return questions.Acknowledged()
        return questions.CrashesAnswer(
            {key: sorted(found) for key, found in self._ended.items()}
        )
