"""Open submissions, with their recorded results and unfinished items."""

import asyncio

from clementineline.state import submissions

__all__ = ['OpenSubmission', 'build_page', 'find_body']

PAGE_BYTES_MAX = 900_000
# Estimated encoded size of a result without its text.
RESULT_OVERHEAD_BYTES = 200


class OpenSubmission:
    """A submission that the owner runs, with its results and item runs.

    :param record: its :class:`~ledger.SubmissionRecord`
    :param inherited: whether an earlier owner may have run it
    :ivar submission: the :class:`~submissions.Submission`; a large one has
        no items until it is loaded
    :ivar loaded: whether its items and results were read from the ledger
    :ivar loading: lock that is held while they are read
    :ivar ended: whether its end was recorded
    :ivar chunk_count: number of recorded chunks
    :ivar results: recorded results, in the order of their positions
    :ivar positions: dict from item id to the position of its result
    :ivar finished: dict from item id to a result that is not yet recorded
    :ivar runs: dict from item id to the :class:`~itemruns.ItemRun` of each
        unfinished item
    :ivar waiting: runs that wait for an engine, in the order of their start
    :ivar changed: event that is set, and replaced, when a chunk is added
    :ivar append_due: event that is set when results should be recorded
    :ivar uncertain_chunk: number of the chunk that a create of unknown outcome
        may still add: one of this owner without an answer, or one of an owner
        before it; None if there is none
    :ivar unconfirmed_since: loop time, in seconds, since when the ledger may
        hold a chunk that is missing here; None if it holds none
    :ivar writer: task that records the results, or None
    """

    __slots__ = (
        'append_due',
        'changed',
        'chunk_count',
        'ended',
        'finished',
        'inherited',
        'loaded',
        'loading',
        'positions',
        'record',
        'results',
        'runs',
        'submission',
        'uncertain_chunk',
        'unconfirmed_since',
        'waiting',
        'writer',
    )

    def __init__(self, record, inherited=False):
        self.record = record
        self.inherited = inherited
        self.submission = record.submission
        self.ended = record.ended
        self.loaded = False
        self.loading = asyncio.Lock()
        self.chunk_count = 0
        self.results = []
        self.positions = {}
        self.finished = {}
        self.runs = {}
        self.waiting = []
        self.changed = asyncio.Event()
        self.append_due = asyncio.Event()
        self.uncertain_chunk = None
        self.unconfirmed_since = None
        self.writer = None

    def count_finished_groups(self):
        """Return how many groups have no unfinished item."""
        unfinished = {run.item.group for run in self.runs.values()}
        groups = {item.group for item in self.submission.items}
        return len(groups - unfinished)

    @property
    def complete(self):
        """Whether every item has a recorded result."""
        return len(self.results) >= len(self.submission.items)

    def note_create(self, number):
        """Note that a create may add a chunk from now on.

        Until its outcome is known, readers of the ledger may know more than
        this owner.

        :param number: number of the chunk
        """
        self.uncertain_chunk = number
        if self.unconfirmed_since is None:
            self.unconfirmed_since = asyncio.get_running_loop().time()

    def note_certainty(self):
        """Note that no create of unknown outcome is left."""
        self.uncertain_chunk = None
        self.unconfirmed_since = None

    def add_chunk(self, number, chunk):
        """Add a recorded chunk and stop the runs of the items it lists.

        Only one create of a number succeeds, so the chunk also settles the
        outcome of all others of its number.

        :param number: number of the chunk, counted from 0
        :param chunk: the :class:`~submissions.ResultChunk`; the positions of
            its results are final
        """
        if number < self.chunk_count:
            # The chunk was read from the ledger before its create returned.
            return
        self.chunk_count += 1
        if self.uncertain_chunk is not None and number >= self.uncertain_chunk:
            self.note_certainty()
        for result in chunk.results:
            self.positions[result.item_id] = len(self.results)
            self.results.append(result)
            self.finished.pop(result.item_id, None)
            run = self.runs.pop(result.item_id, None)
            if run is not None:
                if run in self.waiting:
                    self.waiting.remove(run)
                run.cancel()
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


def build_page(submission, results, after):
    """Build a page of results that fits into ``PAGE_BYTES_MAX``.

    The page has at least one result if there is one, whatever its size.

    :param results: all recorded results
    :param after: position of the page's first result
    :returns: a :class:`~submissions.ResultPage`
    """
    chosen = []
    size = 0
    for result in results[after:]:
        size += len(result.text) + RESULT_OVERHEAD_BYTES
        if chosen and size > PAGE_BYTES_MAX:
            break
        chosen.append(result)
    return submissions.ResultPage(
        len(submission.items), after + len(chosen), tuple(chosen)
    )


def find_body(submission, listed, item_id):
    """Return the body of an item without a recorded result.

    :param listed: ids of the items with a recorded result
    :returns: the body; None if the item is listed or does not exist
    """
    if item_id in listed:
        return None
    for item in submission.items:
        if item.id == item_id:
            return item.body
    return None
