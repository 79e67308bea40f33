import asyncio

import pytest

from clementineline.coordination import itemruns
from clementineline.coordination import ledger as ledgers
from clementineline.coordination import opensubmissions
from clementineline.coordination import recording
from clementineline import errors
from clementineline.state import submissions


class FakeLedger:
    """Keeps chunks in memory; the next appends raise ``faults`` in turn.

    An append that raises is kept in ``late``, to be applied by
    :meth:`apply_late`.
    """

    part_bytes = 1 << 20

    def __init__(self):
        self.chunks = []
        self.faults = []
        self.late = []

    async def append(self, submission_id, number, chunk):
        if self.faults:
            self.late.append((number, chunk))
            raise self.faults.pop(0)
        self._create(number, chunk)

    def _create(self, number, chunk):
        if number < len(self.chunks):
            raise errors.WriteConflict('exists')
        assert number == len(self.chunks)
        self.chunks.append(chunk)

    def apply_late(self):
        for number, chunk in self.late:
            if number == len(self.chunks):
                self.chunks.append(chunk)

    async def read_chunk(self, submission_id, number):
        return self.chunks[number]

    def list_items(self):
        found = []
        for chunk in self.chunks:
            found.extend(result.item_id for result in chunk.results)
        return found


def build_open_submission(item_count=4):
    items = tuple(
        submissions.Item(
            f'i{number}', '/p', (), b'', 1, f'g{number // 2}', 1.0
        )
        for number in range(item_count)
    )
    open_submission = opensubmissions.OpenSubmission(
        ledgers.SubmissionRecord(
            submissions.Submission(
                's1', 'r', 'lm', 'h', 'm0', 1, item_count // 2, 0, 0.0, items
            ),
            False,
        )
    )
    for item in items:
        open_submission.runs[item.id] = itemruns.ItemRun(item)
    return open_submission


def finish(open_submission, *names):
    for name in names:
        open_submission.runs.pop(name, None)
        open_submission.finished[name] = submissions.Result(
            name, 'completed', 'x'
        )
    open_submission.append_due.set()


@pytest.fixture
def ledger(monkeypatch):
    monkeypatch.setattr(recording, 'APPEND_INTERVAL_S', 0.01)
    monkeypatch.setattr(recording, 'APPEND_RETRY_DELAY_S', 0.01)
    return FakeLedger()


@pytest.fixture
async def start(ledger, log):
    tasks = []

    def start_writer(open_submission, may_lead=lambda: True):
        writer = recording.ResultWriter(ledger, may_lead, log)
        tasks.append(asyncio.create_task(writer.run(open_submission)))
        return tasks[-1]

    yield start_writer
    for task in tasks:
        task.cancel()


class TestResultWriter:
    """Guards against results that are lost or recorded twice.

    A create whose outcome was unknown may be applied late, and another owner
    may create the same chunk number. The writer must then adopt the existing
    chunk before it appends again.
    """

    async def test_each_result_has_one_position(self, ledger, start):
        open_submission = build_open_submission()
        writing = start(open_submission)
        finish(open_submission, 'i0', 'i1')
        await asyncio.sleep(0.05)
        finish(open_submission, 'i2', 'i3')
        async with asyncio.timeout(5):
            await writing
        assert sorted(ledger.list_items()) == ['i0', 'i1', 'i2', 'i3']
        assert [
            r.item_id for r in open_submission.results
        ] == ledger.list_items()

    async def test_late_create_of_this_owner_is_adopted(self, ledger, start):
        open_submission = build_open_submission()
        ledger.faults = [errors.AmbiguousWrite('no answer')]
        writing = start(open_submission)
        finish(open_submission, 'i0')
        while not ledger.late:
            await asyncio.sleep(0.001)
        ledger.apply_late()
        finish(open_submission, 'i1', 'i2', 'i3')
        async with asyncio.timeout(5):
            await writing
        assert sorted(ledger.list_items()) == ['i0', 'i1', 'i2', 'i3']

    async def test_chunk_of_another_owner_ends_the_runs_it_lists(
        self, ledger, start
    ):
        open_submission = build_open_submission()
        other = submissions.Result('i3', 'completed', 'other')
        ledger.chunks.append(submissions.ResultChunk(0, (other,)))
        writing = start(open_submission)
        finish(open_submission, 'i0')
        await asyncio.sleep(0.05)
        assert 'i3' not in open_submission.runs
        finish(open_submission, 'i1', 'i2')
        async with asyncio.timeout(5):
            await writing
        assert open_submission.results[0] == other
        assert sorted(ledger.list_items()) == ['i0', 'i1', 'i2', 'i3']

    async def test_unacknowledged_create_stays_unconfirmed(
        self, ledger, start
    ):
        open_submission = build_open_submission()
        ledger.faults = [errors.PlatformUnavailable('503')]
        writing = start(open_submission)
        finish(open_submission, 'i0')
        while not ledger.late:
            await asyncio.sleep(0.001)
        assert open_submission.unconfirmed_since is None
        ledger.late.clear()
        ledger.faults = [errors.AmbiguousWrite('no answer')] * 2
        while not ledger.late:
            await asyncio.sleep(0.001)
        assert open_submission.unconfirmed_since is not None
        finish(open_submission, 'i1', 'i2', 'i3')
        async with asyncio.timeout(5):
            await writing
        assert open_submission.unconfirmed_since is None

    async def test_chunk_read_before_acknowledgement_is_added_once(
        self, ledger, start
    ):
        open_submission = build_open_submission()
        append = ledger.append

        async def append_slowly(*arguments):
            await append(*arguments)
            for number, chunk in enumerate(ledger.chunks):
                open_submission.add_chunk(number, chunk)

        ledger.append = append_slowly
        writing = start(open_submission)
        finish(open_submission, 'i0', 'i1')
        await asyncio.sleep(0.05)
        finish(open_submission, 'i2', 'i3')
        async with asyncio.timeout(5):
            await writing
        assert [
            r.item_id for r in open_submission.results
        ] == ledger.list_items()
        assert len(open_submission.results) == 4

    async def test_nothing_is_recorded_without_the_lease(self, ledger, start):
        open_submission = build_open_submission()
        lease_held = []
        start(open_submission, lambda: bool(lease_held))
        finish(open_submission, 'i0')
        await asyncio.sleep(0.05)
        assert ledger.chunks == []
        lease_held.append(True)
        async with asyncio.timeout(5):
            while not ledger.chunks:
                await asyncio.sleep(0.001)


class TestUncertainCreates:
    """A create whose outcome is unknown may add results at any later time.

    Guards against results that readers of the ledger see and the owner never
    does (review/8).
    """

    async def test_create_of_an_earlier_owner_is_barred(self, ledger, start):
        open_submission = build_open_submission()
        open_submission.note_create(0)
        start(open_submission)
        async with asyncio.timeout(5):
            while open_submission.uncertain_chunk is not None:
                await asyncio.sleep(0.001)
        other = submissions.Result('i3', 'completed', 'other')
        ledger.late.append((0, submissions.ResultChunk(0, (other,))))
        ledger.apply_late()
        assert ledger.list_items() == []
        assert open_submission.unconfirmed_since is None

    async def test_create_of_an_earlier_owner_is_adopted(self, ledger, start):
        open_submission = build_open_submission()
        other = submissions.Result('i3', 'completed', 'other')
        ledger.chunks.append(submissions.ResultChunk(0, (other,)))
        open_submission.note_create(0)
        start(open_submission)
        async with asyncio.timeout(5):
            while not open_submission.results:
                await asyncio.sleep(0.001)
        assert open_submission.results == [other]
        assert open_submission.uncertain_chunk is None
        assert len(ledger.chunks) == 1

    async def test_refusal_says_nothing_of_an_earlier_create(
        self, ledger, start
    ):
        """The create without an answer came first, then a 503."""
        open_submission = build_open_submission()
        ledger.faults = [
            errors.AmbiguousWrite('no answer'),
            errors.PlatformUnavailable('503'),
        ]
        writing = start(open_submission)
        finish(open_submission, 'i0')
        while ledger.faults:
            await asyncio.sleep(0.001)
        # The submission ends now, so nothing is created any more.
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)
        assert open_submission.unconfirmed_since is not None

    async def test_cancelled_create_is_settled(self, ledger, log):
        open_submission = build_open_submission()
        writer = recording.ResultWriter(ledger, lambda: True, log)
        ledger.faults = [errors.AmbiguousWrite('no answer')] * 2
        async with asyncio.timeout(5):
            finish(open_submission, 'i0')
            await writer._append_chunk(open_submission)
            assert open_submission.uncertain_chunk == 0
            await writer.settle(open_submission)
        assert len(ledger.chunks) == open_submission.chunk_count == 1
        ledger.apply_late()
        assert ledger.list_items() == []

    async def test_nothing_is_settled_without_the_lease(self, ledger, log):
        open_submission = build_open_submission()
        open_submission.note_create(0)
        writer = recording.ResultWriter(ledger, lambda: False, log)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await writer.settle(open_submission)
        assert ledger.chunks == []

    def test_empty_chunk_is_added_once(self):
        """It has the position of the chunk after it."""
        open_submission = build_open_submission()
        for _ in range(2):
            open_submission.add_chunk(0, submissions.ResultChunk(0, ()))
        assert open_submission.chunk_count == 1


class TestUrgency:
    """Results that complete the wanted groups are not held for a batch."""

    def test_urgent_when_the_wanted_groups_are_complete(self):
        open_submission = build_open_submission()
        finish(open_submission, 'i0')
        assert not recording.is_urgent(open_submission)
        finish(open_submission, 'i1', 'i2')
        assert not recording.is_urgent(open_submission)
        finish(open_submission, 'i3')
        assert recording.is_urgent(open_submission)
