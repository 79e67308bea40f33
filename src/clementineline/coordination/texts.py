"""Texts of unfinished items, kept for whoever goes on with them.

An item of a hundred events runs for seconds; a new owner that began it anew
would miss its trainer's time. The owner sends what has grown to the other
keepers, and a new owner asks them all. Nothing depends on it: an item whose
text is lost only begins again.
"""

import asyncio
import collections

import msgspec

from clementineline import errors
from clementineline.protocol import asking
from clementineline.state import questions
from clementineline.transport import frames

__all__ = ['KeptText', 'TextMirror', 'TextShelf', 'answer_texts']

# Of a few kilobytes each: 20 MB at the most.
TEXTS_MAX = 4000
MIRROR_INTERVAL_S = 0.4
# A member that is cut off or frozen must not hold a new owner up.
GATHER_TIMEOUT_S = 0.4
# An answer within a zone or to the next takes some milliseconds.
LAST_KEEPER_WAIT_S = 0.1
# A keeper that did not answer is asked again after this time.
REST_S = 3.0
COPIES_MAX = 2


class KeptText(msgspec.Struct):
    """What is held of an item.

    :param run_id: the run that made the last of its events
    :param events: data of its events from the first on
    :param versions: versions that made them, in order of first use
    :param whole: whether these are all its events
    """

    submission_id: str
    run_id: str
    events: list[str]
    versions: list[int]
    whole: bool = False


class TextShelf:
    """Texts by item id; the oldest make room."""

    __slots__ = ('_texts',)

    def __init__(self):
        self._texts = collections.OrderedDict()

    def put(self, item_id, text):
        """Keep a text unless more of it is held for the same submission."""
        held = self._texts.get(item_id)
        if held is not None and held.submission_id == text.submission_id:
            if held.whole:
                return
            if not text.whole and len(held.events) > len(text.events):
                return
        self._texts[item_id] = text
        self._texts.move_to_end(item_id)
        while len(self._texts) > TEXTS_MAX:
            self._texts.popitem(last=False)

    def extend(self, part):
        """Add what has grown.

        A part goes on only with the text of its own run: where two owners
        ran an item, their events do not join.

        :param part: a :class:`~questions.TextPart`
        """
        events = part.events
        if part.first:
            held = self._texts.get(part.item_id)
            if held is None or held.run_id != part.run_id:
                return
            if part.first > len(held.events):
                return
            events = [*held.events[: part.first], *events]
        text = KeptText(
            part.submission_id,
            part.run_id,
            events,
            part.versions,
            part.whole,
        )
        self.put(part.item_id, text)

    def take(self, item_id):
        """Return a text and forget it; None if none is held."""
        return self._texts.pop(item_id, None)

    def list_recent(self, bytes_max):
        """Return what was kept last, oldest first.

        :param bytes_max: most bytes of text
        :returns: list of :class:`~questions.TextPart`
        """
        parts = []
        left = bytes_max
        for item_id, text in reversed(self._texts.items()):
            left -= sum(map(len, text.events))
            if left < 0:
                break
            parts.append(_build_part(item_id, text))
        parts.reverse()
        return parts

    def list_texts(self, submission_ids):
        """Return the texts of some submissions, by item id."""
        wanted = set(submission_ids)
        found = {}
        for item_id, text in self._texts.items():
            if text.submission_id in wanted and text.events:
                found[item_id] = text
        return found


class TextMirror:
    """Sends growing texts to other keepers, and gathers what they hold.

    :param members: the :class:`~members.MemberRegistry`
    :param log: logger
    """

    __slots__ = ('_askers', '_log', '_members', '_resting', '_sent')

    def __init__(self, members, log):
        self._members = members
        self._log = log
        self._askers = {}
        self._resting = {}
        self._sent = {}

    async def run(self, list_runs):
        """Send what grows until cancelled.

        :param list_runs: function that returns ``(submission id, run)`` of
            the unfinished items
        """
        while True:
            await asyncio.sleep(MIRROR_INTERVAL_S)
            await self.send(list_runs())

    async def send(self, runs):
        """Send what has grown.

        :param runs: ``(submission id, run)`` of the unfinished items
        """
        parts = self._collect(runs)
        if not parts:
            return
        sends = []
        for name in self._members.list_keepers()[:COPIES_MAX]:
            sends.append(self._ask(name, questions.KeepTexts(parts)))
        await asyncio.gather(*sends)

    def _collect(self, runs):
        """Return what has grown since the last time."""
        parts = []
        sent = {}
        for submission_id, run in runs:
            count = len(run.texts)
            run_id, first = self._sent.get(run.item.id, ('', 0))
            if run_id != run.run_id:
                first = 0
            sent[run.item.id] = (run.run_id, count)
            if count <= first:
                continue
            parts.append(
                questions.TextPart(
                    submission_id,
                    run.item.id,
                    run.run_id,
                    first,
                    run.texts[first:],
                    list(run.versions),
                )
            )
        self._sent = sent
        return parts

    async def gather(self, submission_ids, shelf):
        """Ask all keepers for the texts of some submissions.

        :param shelf: the :class:`TextShelf` that takes them
        """
        question = questions.ReadTexts(list(submission_ids))
        names = self._members.list_keepers()
        answers = await self._ask_all(names, question)
        count = 0
        for answer in answers:
            for part in answer.parts:
                shelf.extend(part)
                count += 1
        self._log.info('texts gathered', members=len(names), texts=count)

    async def _ask_all(self, names, question):
        """Ask keepers, and hardly wait for the last one.

        Each text has two copies, so one keeper that is gone, most often the
        owner before, hides none.
        """
        pending = {
            asyncio.create_task(self._ask(name, question)) for name in names
        }
        answers = []
        while pending:
            wait_s = None
            if len(pending) == 1 and answers:
                wait_s = LAST_KEEPER_WAIT_S
            done, pending = await asyncio.wait(
                pending,
                timeout=wait_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            for task in done:
                answer = task.result()
                if isinstance(answer, questions.TextsAnswer):
                    answers.append(answer)
        for task in pending:
            task.cancel()
        return answers

    async def _ask(self, name, question):
        """Ask a keeper; None if it does not answer in time."""
        now = asyncio.get_running_loop().time()
        if now < self._resting.get(name, 0.0):
            return None
        asker = self._askers.get(name)
        if asker is None:
            address = self._members.addresses.get(name)
            if address is None:
                return None
            asker = asking.QuestionClient(
                frames.parse_address(address), questions.Answer
            )
            self._askers[name] = asker
        try:
            async with asyncio.timeout(GATHER_TIMEOUT_S):
                return await asker.ask(question, GATHER_TIMEOUT_S)
        except (errors.ProtocolError, TimeoutError) as error:
            self._log.info('keeper not asked', member=name, reason=repr(error))
            self._askers.pop(name, None)
            self._resting[name] = now + REST_S
            asker.close()
            return None


def answer_texts(shelf, question):
    """Answer a question about kept texts.

    :param question: a :class:`~questions.KeepTexts` or
        :class:`~questions.ReadTexts`
    """
    if isinstance(question, questions.KeepTexts):
        for part in question.parts:
            shelf.extend(part)
        return questions.TextsAnswer([])
    parts = []
    for item_id, text in shelf.list_texts(question.submission_ids).items():
        parts.append(_build_part(item_id, text))
    return questions.TextsAnswer(parts)


def _build_part(item_id, text):
    return questions.TextPart(
        text.submission_id,
        item_id,
        text.run_id,
        0,
        text.events,
        text.versions,
        text.whole,
    )
