"""Item runs: executing one item on one engine and keeping its events."""

import asyncio
import dataclasses
import uuid

from clementineline.coordination import completion
from clementineline.coordination import ratelimits
from clementineline.coordination import responses
from clementineline import errors
from clementineline.protocol import verdicts
from clementineline.state import submissions
from clementineline.transport import events
from clementineline.transport import numbers

__all__ = ['ItemRun', 'RunEnd', 'run_item']

# The first event of an admitted item takes about 50 ms, each later event about
# 40 ms. Slowed engines take up to eight times as long.
RESPONSE_HEAD_TIMEOUT_S = 2.0
# Bytes that complete no event do not count.
DATA_TIMEOUT_S = 1.2
# Far above the texts of real items. A longer one would not fit into an object
# of the store.
TEXT_MAX_BYTES = 512 * 1024


class RunEnd:
    """How an item run ended.

    COMPLETED: the engine sent the complete text. FAILED: it answered that
    the item failed. IMPOSSIBLE: it rejected the item permanently. NOT_RUN: it
    refused to run the item now. LIMITED: it was not sent, because of the
    limit that the engine names. UNREACHED: no connection could be made.
    BROKEN: the response was late, incomplete or unexpected, or the run was
    cancelled. STALE: the engine's weights version is older than the
    submission accepts.
    """

    COMPLETED = 'completed'
    FAILED = 'failed'
    IMPOSSIBLE = 'impossible'
    NOT_RUN = 'not_run'
    LIMITED = 'limited'
    UNREACHED = 'unreached'
    BROKEN = 'broken'
    STALE = 'stale'


@dataclasses.dataclass(slots=True, eq=False)
class ItemRun:
    """An unfinished item of an open submission, and its runs so far.

    :param item: the :class:`~submissions.Item`
    :param kind: kind of its cost in the :class:`~costs.CostModel`
    :param waits_since: loop time since which it waits for a faster engine
        than one that is free, in seconds, or None
    :param first_event_s: time from its request to its first event, in
        seconds; None if it was resumed, or has no event
    :param placed_by: the :class:`~completion.Choice` of its engine; None if it
        was placed by load
    :param carried: whether its group was started in an earlier submission
    :param run_id: id of the last run; cached events are only joined if they
        come from the same run
    :param texts: data of the events received so far
    :param versions: versions that generated them, in order of first use
    :param whole: whether ``texts`` holds the item's complete text
    :param failures: number of runs that the engine answered as failed
    :param charged: tokens that its organisation was charged with for the run,
        or None
    :param not_before: earliest loop time of the next run, in seconds
    :param avoid: ids of engines that refused or failed it, or were too slow
    :param moves: how often it left an engine that stayed slow
    :param first_started_at: loop time of its first start, in seconds
    :param started_at: loop time of its last start, in seconds
    :param last_event_at: loop time of the last event of this run, in
        seconds, or None
    :param move_checked_at: loop time of the last check whether to move it, in
        seconds
    :param target: engine that a moving run is resumed on, or None for any
    :param moving: whether its task was cancelled to resume it elsewhere
    :param state: :class:`~directory.EndpointState` of the engine that runs
        it, or None
    :param task: its running task, or None
    :param scoring_task: the task of its reward call, or None
    :param organisation: that of its submission
    """

    item: submissions.Item
    carried: bool = False
    run_id: str = ''
    texts: list = dataclasses.field(default_factory=list)
    versions: list = dataclasses.field(default_factory=list)
    whole: bool = False
    failures: int = 0
    impossible: int = 0
    charged: float | None = None
    not_before: float = 0.0
    avoid: set = dataclasses.field(default_factory=set)
    moves: int = 0
    first_started_at: float = 0.0
    started_at: float = 0.0
    last_event_at: float | None = None
    move_checked_at: float = 0.0
    target: object = None
    moving: bool = False
    state: object = None
    task: asyncio.Task | None = None
    scoring_task: asyncio.Task | None = None
    organisation: str | None = None
    kind: tuple = ()
    waits_since: float | None = None
    first_event_s: float | None = None
    placed_by: object = None

    def forget_text(self):
        """Drop the events; the next run starts from the beginning."""
        self.texts.clear()
        self.versions.clear()
        self.whole = False

    def list_events(self):
        """Return the text as list of events, a whole text as one string."""
        if self.whole:
            return ['\n'.join(self.texts)]
        return list(self.texts)

    def cancel(self):
        """Cancel the tasks that run or score the item."""
        for task in (self.task, self.scoring_task):
            if task is not None:
                task.cancel()

    def build_result(self, score=''):
        """Build the result of the completed item.

        :param score: the signature that its reward call got
        """
        return submissions.Result(
            self.item.id,
            submissions.COMPLETED,
            '\n'.join(self.texts),
            tuple(self.versions),
            score,
        )


async def run_item(
    submission,
    run,
    state,
    pool,
    dialect,
    organisation=None,
    learned=None,
):
    """Run an item on an engine, resuming after the events received so far.

    :param submission: the item's :class:`~submissions.Submission`
    :param run: the :class:`ItemRun`, which gets the events
    :param state: the engine's :class:`~directory.EndpointState`
    :param pool: the :class:`~connections.ConnectionPool`
    :param dialect: the platform's dialect
    :param organisation: name of the organisation that the item runs for, ''
        for none; None if organisations are not in force
    :param learned: the :class:`~completion.CompletionModel`, or None
    :returns: ``(end, reason)`` with the end one of :class:`RunEnd`
    """
    fresh = False
    while True:
        outcome = await _run_on_connection(
            submission,
            run,
            state,
            pool,
            dialect,
            organisation,
            learned,
            fresh,
        )
        if outcome is not None:
            return outcome
        fresh = True


async def _run_on_connection(
    submission, run, state, pool, dialect, organisation, learned, fresh
):
    """Run an item; the parameters are those of :func:`run_item`.

    :param fresh: whether a new connection is opened in any case
    :returns: as :func:`run_item`; None if the endpoint had dropped the
        connection, which says nothing about the endpoint
    """
    try:
        client = await pool.acquire(
            state, ratelimits.Purpose.ITEM, repeatable=True, fresh=fresh
        )
    except errors.LimitReached as error:
        return RunEnd.LIMITED, str(error)
    except errors.ConnectionLost as error:
        return RunEnd.UNREACHED, str(error)
    reusable = False
    run.last_event_at = None
    run.first_event_s = None
    run.run_id = uuid.uuid4().hex
    try:
        head = dialect.build_item_call(
            submission,
            run.item,
            state.record,
            len(run.texts),
            organisation,
        )
        client.send_request(head, run.item.body)
        sent_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(RESPONSE_HEAD_TIMEOUT_S):
            reply = await client.receive_head()
        headers = tuple(reply.headers.raw_items())
        facts = dialect.read_reply(headers)
        if not facts.is_about(run.item.id):
            return RunEnd.BROKEN, f'response to {facts.request_id!r}'
        if reply.status_code != 200:
            async with asyncio.timeout(DATA_TIMEOUT_S):
                await client.receive_body(1 << 20)
            reusable = True
            return _classify_error_response(
                run, reply.status_code, headers, facts
            )
        if facts.request_id != run.item.id:
            return RunEnd.BROKEN, f'response to {facts.request_id!r}'
        pace = completion.PaceObserver(
            learned, state, submission.route, submission.model
        )
        end = await _read_stream(
            submission,
            run,
            state,
            client,
            facts.version,
            dialect,
            pace,
            sent_at,
        )
        reusable = end[0] is RunEnd.COMPLETED
        return end
    except errors.ProtocolError as error:
        if client.was_dropped:
            return None
        return RunEnd.BROKEN, repr(error)
    except (errors.RequestError, TimeoutError, ValueError) as error:
        return RunEnd.BROKEN, repr(error)
    finally:
        if reusable:
            pool.release(state, client)
        else:
            client.close()


def _classify_error_response(run, status, headers, facts):
    """Return how a run ended whose response is no stream.

    :returns: as :func:`run_item`
    """
    verdict = responses.judge_response(
        status, headers, b'', facts, run.item.id, repeatable=True
    )
    if isinstance(verdict, verdicts.NotRun):
        return RunEnd.NOT_RUN, verdict.reason
    if isinstance(verdict, verdicts.MayHaveRun):
        return RunEnd.BROKEN, verdict.reason
    if status == 422:
        return RunEnd.IMPOSSIBLE, 'status 422'
    if status == 500:
        return RunEnd.FAILED, 'status 500'
    return RunEnd.BROKEN, f'status {status}'


async def _read_stream(
    submission, run, state, client, version, dialect, pace, sent_at
):
    """Append the events of a response to the run's text.

    :param client: the connection, after the head of the response
    :param version: weights version that the head names, or None
    :param pace: the :class:`~completion.PaceObserver`
    :param sent_at: loop time of the request, in seconds
    :returns: ``(end, reason)``
    """
    loop = asyncio.get_running_loop()
    reader = events.EventReader()
    previous_at = None
    resumed = bool(run.texts)
    if version is not None and submission.model:
        state.versions[submission.model] = version
        if version < submission.version_min:
            return RunEnd.STALE, f'version {version}'
    deadline = loop.time() + DATA_TIMEOUT_S
    size = sum(len(text) for text in run.texts)
    while True:
        async with asyncio.timeout_at(deadline):
            data = await client.receive_data()
        if data is None:
            break
        found = reader.feed(data)
        for event in found:
            changed = event.fields.get(dialect.version_field)
            if changed is not None:
                version = numbers.read_integer(changed)
                if version is None:
                    return RunEnd.BROKEN, f'version {changed[:80]!r}'
                state.versions[submission.model] = version
            if event.number != len(run.texts) + 1:
                return RunEnd.BROKEN, (
                    f'event {event.number} after {len(run.texts)}'
                )
            size += len(event.data)
            if size > TEXT_MAX_BYTES:
                run.forget_text()
                return RunEnd.BROKEN, f'text over {TEXT_MAX_BYTES} bytes'
            run.texts.append(event.data)
            if version is not None and version not in run.versions:
                run.versions.append(version)
        if found:
            now = loop.time()
            if previous_at is not None:
                state.update_pace((now - previous_at) / len(found), now)
            elif not resumed:
                run.first_event_s = now - sent_at
            previous_at = now
            pace.add(len(found), now)
            deadline = now + DATA_TIMEOUT_S
            run.last_event_at = now
    if reader.has_partial:
        return RunEnd.BROKEN, 'stream ended within an event'
    if previous_at is None and client.ends_with_connection:
        return RunEnd.BROKEN, 'connection ended before an event'
    run.whole = True
    return RunEnd.COMPLETED, ''
