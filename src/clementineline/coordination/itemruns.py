"""Running one item at one engine, and what is kept of its text."""

import asyncio
import dataclasses
import uuid

from clementineline import errors
from clementineline.state import submissions
from clementineline.transport import events

__all__ = ['ItemRun', 'RunEnd', 'run_item']

# The first event of an admitted item takes some 50 ms, the gap between two
# some 40 ms; engines that turn slow take up to eight times as long.
HEAD_TIMEOUT_S = 2.0
GAP_TIMEOUT_S = 1.2


class RunEnd:
    """How one run ended; see :func:`run_item`."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    IMPOSSIBLE = 'impossible'
    NOT_RUN = 'not_run'
    UNREACHED = 'unreached'
    BROKEN = 'broken'
    STALE = 'stale'


@dataclasses.dataclass(slots=True, eq=False)
class ItemRun:
    """An item of an open submission.

    :param item: the :class:`~submissions.Item`
    :param carried: whether its group was begun in an earlier submission
    :param run_id: names the last run, and so what its events go on from
    :param texts: data of the events that are held
    :param versions: versions that made them, in order of first use
    :param failures: runs that the engine answered as failed
    :param not_before: loop time before which it is not run, in seconds
    :param avoid: ids of engines that it was moved away from
    :param moves: how often it was moved to a faster engine
    :param begun_at: loop time of its first start, in seconds
    :param started_at: loop time of its last start, in seconds
    :param event_at: loop time of the last event of this run, or None
    :param moved_at: loop time at which a move was last weighed
    :param target: engine on which it goes on, or None for any
    :param moving: whether its task was cancelled to go on elsewhere
    :param task: its running task, or None
    """

    item: submissions.Item
    carried: bool = False
    run_id: str = ''
    texts: list = dataclasses.field(default_factory=list)
    versions: list = dataclasses.field(default_factory=list)
    whole: bool = False
    failures: int = 0
    impossible: int = 0
    not_before: float = 0.0
    avoid: set = dataclasses.field(default_factory=set)
    moves: int = 0
    begun_at: float = 0.0
    started_at: float = 0.0
    event_at: float | None = None
    moved_at: float = 0.0
    target: object = None
    moving: bool = False
    state: object = None
    task: asyncio.Task | None = None

    def forget_text(self):
        """Drop what is held; the next run starts from the beginning."""
        self.texts.clear()
        self.versions.clear()
        self.whole = False

    def build_result(self):
        """Return the item's result."""
        return submissions.Result(
            self.item.id,
            submissions.COMPLETED,
            '\n'.join(self.texts),
            tuple(self.versions),
        )


async def run_item(submission, run, state, pool, dialect):
    """Run an item at an engine, going on after the events that are held.

    :param submission: the item's :class:`~submissions.Submission`
    :param run: the :class:`ItemRun`
    :param state: the engine's :class:`~directory.EndpointState`
    :returns: ``(end, reason)``, the end one of :class:`RunEnd`
    """
    try:
        client = await pool.take(state)
    except errors.ConnectionLost as error:
        return RunEnd.UNREACHED, str(error)
    ended = False
    run.event_at = None
    run.run_id = uuid.uuid4().hex
    try:
        head = dialect.build_item_call(
            submission, run.item, state.record, len(run.texts)
        )
        client.send_request(head, run.item.body)
        async with asyncio.timeout(HEAD_TIMEOUT_S):
            reply = await client.receive_head()
        headers = tuple(reply.headers.raw_items())
        facts = dialect.read_reply(headers)
        if reply.status_code != 200:
            async with asyncio.timeout(GAP_TIMEOUT_S):
                await client.receive_body(1 << 20)
            ended = True
            return _judge_refusal(run, reply.status_code, facts)
        if facts.request_id != run.item.id:
            return RunEnd.BROKEN, f'response to {facts.request_id!r}'
        end = await _read_stream(
            submission, run, state, client, facts.version, dialect
        )
        ended = end[0] is RunEnd.COMPLETED
        return end
    except (errors.ProtocolError, TimeoutError, ValueError) as error:
        return RunEnd.BROKEN, repr(error)
    finally:
        if ended:
            pool.give_back(state, client)
        else:
            client.close()


def _judge_refusal(run, status, facts):
    if facts.not_run or status in (421, 429):
        return RunEnd.NOT_RUN, f'status {status}'
    if facts.request_id != run.item.id:
        return RunEnd.BROKEN, f'status {status} to {facts.request_id!r}'
    if status == 422:
        return RunEnd.IMPOSSIBLE, 'status 422'
    if status == 500:
        return RunEnd.FAILED, 'status 500'
    return RunEnd.BROKEN, f'status {status}'


async def _read_stream(submission, run, state, client, version, dialect):
    """Add the events of a response to the run's text."""
    loop = asyncio.get_running_loop()
    reader = events.EventReader()
    last_at = None
    if version is not None and submission.model:
        state.versions[submission.model] = version
        if version < submission.version_min:
            return RunEnd.STALE, f'version {version}'
    while True:
        async with asyncio.timeout(GAP_TIMEOUT_S):
            data = await client.receive_data()
        if data is None:
            break
        found = reader.feed(data)
        for event in found:
            changed = event.fields.get(dialect.version_field)
            if changed is not None:
                version = int(changed)
                state.versions[submission.model] = version
            if event.number != len(run.texts) + 1:
                return RunEnd.BROKEN, (
                    f'event {event.number} after {len(run.texts)}'
                )
            run.texts.append(event.data)
            if version is not None and version not in run.versions:
                run.versions.append(version)
        if found:
            now = loop.time()
            if last_at is not None:
                state.note_pace((now - last_at) / len(found), now)
            last_at = now
            run.event_at = now
    if reader.has_partial:
        return RunEnd.BROKEN, 'stream ended within an event'
    run.whole = True
    return RunEnd.COMPLETED, ''
