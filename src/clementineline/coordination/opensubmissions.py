"""An open submission: its results so far, and what is still to run."""

import asyncio

from clementineline.state import submissions

__all__ = ['OpenSubmission', 'build_page', 'find_body']

PAGE_BYTES_MAX = 900_000
# Of a result beside its text.
RESULT_BYTES = 200


class OpenSubmission:
    """A submission with its results so far.

    :param record: its :class:`~ledger.SubmissionRecord`
    :ivar submission: the :class:`~submissions.Submission`; its items are
        there once it is loaded
    :ivar unsure_at: loop time, in seconds, since when the ledger may hold a
        chunk that is not held here; None if it holds none
    """

    __slots__ = (
        'changed',
        'chunk_count',
        'due',
        'ended',
        'finished',
        'loaded',
        'loading',
        'positions',
        'record',
        'results',
        'runs',
        'submission',
        'unsure_at',
        'waiting',
        'writer',
    )

    def __init__(self, record):
        self.record = record
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
        self.due = asyncio.Event()
        self.unsure_at = None
        self.writer = None

    def count_whole_groups(self):
        """Return how many groups have all their results."""
        broken = {run.item.group for run in self.runs.values()}
        groups = {item.group for item in self.submission.items}
        return len(groups - broken)

    @property
    def complete(self):
        """Whether each item has its position."""
        return len(self.results) >= len(self.submission.items)

    def add_chunk(self, chunk):
        """Take a chunk that is recorded; its positions are final."""
        if chunk.first < len(self.results):
            # It was read from the ledger before its create was answered.
            return
        self.chunk_count += 1
        for result in chunk.results:
            self.positions[result.item_id] = len(self.results)
            self.results.append(result)
            self.finished.pop(result.item_id, None)
            run = self.runs.pop(result.item_id, None)
            if run is not None:
                if run in self.waiting:
                    self.waiting.remove(run)
                if run.task is not None:
                    run.task.cancel()
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


def build_page(submission, results, after):
    """Return the :class:`~submissions.ResultPage` from a position on."""
    chosen = []
    size = 0
    for result in results[after:]:
        size += len(result.text) + RESULT_BYTES
        if chosen and size > PAGE_BYTES_MAX:
            break
        chosen.append(result)
    return submissions.ResultPage(
        len(submission.items), after + len(chosen), tuple(chosen)
    )


def find_body(submission, listed, item_id):
    """Return the body of an item that is not listed, or None."""
    if item_id in listed:
        return None
    for item in submission.items:
        if item.id == item_id:
            return item.body
    return None
