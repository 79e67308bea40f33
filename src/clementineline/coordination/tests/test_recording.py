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


def build_entry(item_count=4):
    items = tuple(
        submissions.Item(
            f'i{number}', '/p', (), b'', 1, f'g{number // 2}', 1.0
        )
        for number in range(item_count)
    )
    entry = opensubmissions.OpenSubmission(
        ledgers.SubmissionRecord(
            submissions.Submission(
                's1', 'r', 'lm', 'h', 'm0', 1, item_count // 2, 0, 0.0, items
            ),
            False,
        )
    )
    for item in items:
        entry.runs[item.id] = itemruns.ItemRun(item)
    return entry


def finish(entry, *names):
    for name in names:
        entry.runs.pop(name, None)
        entry.finished[name] = submissions.Result(name, 'completed', 'x')
    entry.append_due.set()


@pytest.fixture
def ledger(monkeypatch):
    monkeypatch.setattr(recording, 'APPEND_INTERVAL_S', 0.01)
    monkeypatch.setattr(recording, 'APPEND_RETRY_DELAY_S', 0.01)
    return FakeLedger()


@pytest.fixture
async def start(ledger, log):
    tasks = []

    def start_writer(entry, may_lead=lambda: True):
        writer = recording.ResultWriter(ledger, may_lead, log)
        tasks.append(asyncio.create_task(writer.run(entry)))
        return tasks[-1]

    yield start_writer
    for task in tasks:
        task.cancel()


class TestResultWriter:
    """A result listed twice or lost would reach the trainer.

    This happens if a create is applied late or by another owner and the
    writer appends the same results again.
    """

    async def test_each_result_has_one_position(self, ledger, start):
        entry = build_entry()
        writing = start(entry)
        finish(entry, 'i0', 'i1')
        await asyncio.sleep(0.05)
        finish(entry, 'i2', 'i3')
        async with asyncio.timeout(5):
            await writing
        assert sorted(ledger.list_items()) == ['i0', 'i1', 'i2', 'i3']
        assert [r.item_id for r in entry.results] == ledger.list_items()

    async def test_late_create_of_this_owner_is_adopted(self, ledger, start):
        entry = build_entry()
        ledger.faults = [errors.AmbiguousWrite('no answer')]
        writing = start(entry)
        finish(entry, 'i0')
        while not ledger.late:
            await asyncio.sleep(0.001)
        ledger.apply_late()
        finish(entry, 'i1', 'i2', 'i3')
        async with asyncio.timeout(5):
            await writing
        assert sorted(ledger.list_items()) == ['i0', 'i1', 'i2', 'i3']

    async def test_chunk_of_another_owner_ends_the_runs_it_lists(
        self, ledger, start
    ):
        entry = build_entry()
        other = submissions.Result('i3', 'completed', 'other')
        ledger.chunks.append(submissions.ResultChunk(0, (other,)))
        writing = start(entry)
        finish(entry, 'i0')
        await asyncio.sleep(0.05)
        assert 'i3' not in entry.runs
        finish(entry, 'i1', 'i2')
        async with asyncio.timeout(5):
            await writing
        assert entry.results[0] == other
        assert sorted(ledger.list_items()) == ['i0', 'i1', 'i2', 'i3']

    async def test_unacknowledged_create_stays_unconfirmed(
        self, ledger, start
    ):
        entry = build_entry()
        ledger.faults = [errors.PlatformUnavailable('503')]
        writing = start(entry)
        finish(entry, 'i0')
        while not ledger.late:
            await asyncio.sleep(0.001)
        assert entry.unconfirmed_since is None
        ledger.late.clear()
        ledger.faults = [errors.AmbiguousWrite('no answer')] * 2
        while not ledger.late:
            await asyncio.sleep(0.001)
        assert entry.unconfirmed_since is not None
        finish(entry, 'i1', 'i2', 'i3')
        async with asyncio.timeout(5):
            await writing
        assert entry.unconfirmed_since is None

    async def test_chunk_read_before_acknowledgement_is_added_once(
        self, ledger, start
    ):
        entry = build_entry()
        append = ledger.append

        async def append_slowly(*arguments):
            await append(*arguments)
            for chunk in ledger.chunks:
                entry.add_chunk(chunk)

        ledger.append = append_slowly
        writing = start(entry)
        finish(entry, 'i0', 'i1')
        await asyncio.sleep(0.05)
        finish(entry, 'i2', 'i3')
        async with asyncio.timeout(5):
            await writing
        assert [r.item_id for r in entry.results] == ledger.list_items()
        assert len(entry.results) == 4

    async def test_nothing_is_recorded_without_the_lease(self, ledger, start):
        entry = build_entry()
        lease_held = []
        start(entry, lambda: bool(lease_held))
        finish(entry, 'i0')
        await asyncio.sleep(0.05)
        assert ledger.chunks == []
        lease_held.append(True)
        async with asyncio.timeout(5):
            while not ledger.chunks:
                await asyncio.sleep(0.001)


class TestUrgency:
    """Results that complete the wanted groups are not held for a batch."""

    def test_urgent_when_the_wanted_groups_are_complete(self):
        entry = build_entry()
        finish(entry, 'i0')
        assert not recording.is_urgent(entry)
        finish(entry, 'i1', 'i2')
        assert not recording.is_urgent(entry)
        finish(entry, 'i3')
        assert recording.is_urgent(entry)
