"""Execution of attempts at an endpoint, each in its own task."""

import asyncio
import dataclasses
import functools

import aiohttp

from clementineline.coordination import admission as admissions
from clementineline.coordination import waiting
from clementineline.protocol import messages
from clementineline.transport import engine as engines
from clementineline.transport import statuses

__all__ = ['AttemptRunner']

# Hop-by-hop headers, and headers that the HTTP library sets itself.
UNFORWARDED_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
ATTACH_GRACE_S = 0.25
ANSWER_MAX_BYTES = 6 * 1024 * 1024
LIVE_PRIORITY = 10
TRAINER_PRIORITY = 0


@dataclasses.dataclass(slots=True)
class _RunningAttempt:
    """State of a running attempt.

    :param session: session that gets the attempt's Chunks
    :param listeners: sessions that get its Done
    :param sent: whether the endpoint may have received the request
    :param reason: why the attempt is being cancelled, or ''
    :param done: how the attempt ended, or None
    """

    dispatch: messages.Dispatch
    session: object
    listeners: list
    task: asyncio.Task | None = None
    sent: bool = False
    reason: str = ''
    done: messages.Done | None = None


class AttemptRunner:
    """Runs attempts at one endpoint and reports how each one ended.

    :param admission: an :class:`~admission.Admission`
    :param records: the sidecar's :class:`~records.OutcomeRecords`
    :param decisions: a :class:`~decisions.DecisionLog`
    :param http: client for idempotent calls
    :param http_once: client for other calls; it opens a connection for each
        call, so that the HTTP library never retries a call
    :param service_url: root of the plain service, or ''
    :param engine: the :class:`~engine.EngineClient`, or None
    :param weights: the :class:`~swaps.WeightUpdater`, or None
    :param call_timeout_s: longest time of one call, in seconds
    :param on_free: function called when a slot becomes free after an attempt
        was refused because all slots were in use
    """

    __slots__ = (
        '_admission',
        '_call_timeout_s',
        '_decisions',
        '_http',
        '_http_once',
        '_on_free',
        '_records',
        '_refused_full',
        '_running',
        'engine',
        'idle',
        'service_url',
        'tokens',
        'weights',
    )

    def __init__(
        self,
        admission,
        records,
        decisions,
        http,
        http_once,
        service_url='',
        engine=None,
        weights=None,
        call_timeout_s=60.0,
        on_free=lambda: None,
    ):
        self._admission = admission
        self._records = records
        self._decisions = decisions
        self._http = http
        self._http_once = http_once
        self._call_timeout_s = call_timeout_s
        self._running = {}
        self._refused_full = False
        self._on_free = on_free
        self.service_url = service_url.rstrip('/')
        self.engine = engine
        self.weights = weights
        self.idle = asyncio.Event()
        self.idle.set()
        self.tokens = 0

    def __len__(self):
        return len(self._running)

    def dispatch(self, session, dispatch):
        """Start an attempt, or refuse it for good.

        An attempt that is already known is not started again: the session
        gets its Done, now or when it ends.

        :param session: session that gets the attempt's Chunks and its Done
        :param dispatch: a :class:`messages.Dispatch`
        """
        if self._records.is_known(dispatch.id):
            self._answer_known(session, dispatch.id)
            return
        reason = self._find_refusal_reason(dispatch)
        if not reason:
            result = self._admission.admit(
                dispatch.id, dispatch.share, dispatch.preempts
            )
            if isinstance(result, admissions.Refused):
                reason = result.reason
                self._refused_full = reason == 'full'
            elif result.victim:
                self._cancel(result.victim, 'preempted')
        if reason:
            self._refuse(session, dispatch.id, reason, dispatch.keep)
            return
        self._records.start(dispatch.id)
        running = _RunningAttempt(dispatch, session, [session])
        self._running[dispatch.id] = running
        self.idle.clear()
        running.task = asyncio.create_task(self._run(running))
        # A callback, because a task that is cancelled before its first step
        # runs none of its own code.
        running.task.add_done_callback(lambda _: self._end(running))

    def _find_refusal_reason(self, dispatch):
        """Return why an attempt must be refused, or ''."""
        if dispatch.keep and not self._records.has_room(ANSWER_MAX_BYTES):
            return 'outcome records are full'
        if not isinstance(dispatch.work, messages.Generate):
            return ''
        if self.weights is None:
            return 'no engine here'
        if dispatch.share == waiting.LIVE:
            return ''
        if self.weights.state != 'ready':
            return 'weights too old'
        if self.weights.active < dispatch.work.min_version:
            return 'weights too old'
        return ''

    def _refuse(self, session, attempt_id, reason, keep):
        done = messages.Done(attempt_id, 'not-run', reason)
        self._records.finish(done, keep)
        self._decisions.record('refuse', attempt_id, reason=reason)
        session.send(done)

    def _answer_known(self, session, attempt_id):
        done = self._records.get(attempt_id)
        if done is not None:
            session.send(done)
            return
        running = self._running[attempt_id]
        if session not in running.listeners:
            running.listeners.append(session)

    def attach(self, session, attempt_id):
        """Send an attempt's Done to a further session, now or at its end.

        An unknown attempt is refused for good only after ``ATTACH_GRACE_S``,
        because its Dispatch may still arrive. If it were refused at once, two
        entries that attach to each other's attempts could have all of them
        refused, and no attempt would ever run.
        """
        if self._records.is_known(attempt_id):
            self._answer_known(session, attempt_id)
            return
        asyncio.get_running_loop().call_later(
            ATTACH_GRACE_S, self._attach_after_grace, session, attempt_id
        )

    def _attach_after_grace(self, session, attempt_id):
        if self._records.is_known(attempt_id):
            self._answer_known(session, attempt_id)
            return
        self._refuse(session, attempt_id, 'never arrived', True)

    def cancel(self, attempt_id, reason):
        """Cancel an attempt, unless it is a call that is not idempotent.

        Such a call could be cut off halfway and must not be repeated.
        """
        self._cancel(attempt_id, reason)

    def _cancel(self, attempt_id, reason):
        running = self._running.get(attempt_id)
        if running is None or running.reason:
            return
        work = running.dispatch.work
        if isinstance(work, messages.Call) and not work.idempotent:
            return
        running.reason = reason
        running.task.cancel()

    def handle_session_loss(self, session):
        """Cancel the attempts of an entry whose session is lost.

        Attempts whose outcome is kept continue, because other entries may
        ask for the outcome.
        """
        for attempt_id, running in list(self._running.items()):
            if session in running.listeners:
                running.listeners.remove(session)
            if running.session is session and not running.dispatch.keep:
                self._cancel(attempt_id, 'the entry is gone')

    async def _run(self, running):
        dispatch = running.dispatch
        timeout_s = dispatch.timeout_s or None
        try:
            async with asyncio.timeout(timeout_s):
                done = await run_work(dispatch.work, self, running)
        except asyncio.CancelledError:
            outcome = 'may-have-run' if running.sent else 'not-run'
            reason = running.reason or 'the sidecar stops'
            done = messages.Done(dispatch.id, outcome, reason)
        except TimeoutError:
            outcome = 'may-have-run' if running.sent else 'not-run'
            done = messages.Done(dispatch.id, outcome, 'deadline passed')
        except Exception as error:
            # The entry waits for a Done, so any error must produce one.
            self._decisions.record('fault', dispatch.id, error=repr(error))
            done = messages.Done(
                dispatch.id, 'may-have-run', f'sidecar fault: {error!r}'
            )
        running.done = done

    def _end(self, running):
        """Release the slot and send the Done to the listening entries."""
        dispatch = running.dispatch
        done = running.done
        if done is None:
            reason = running.reason or 'the sidecar stops'
            done = messages.Done(dispatch.id, 'not-run', reason)
        self._admission.release(dispatch.id)
        del self._running[dispatch.id]
        if not self._running:
            self.idle.set()
        self._records.finish(done, dispatch.keep)
        for session in running.listeners:
            session.send(done)
        if self._refused_full:
            self._refused_full = False
            self._on_free()

    async def run_generate(self, work, running):
        """Run a generation on the engine and send its chunks.

        :returns: the :class:`messages.Done`
        """
        attempt_id = running.dispatch.id
        priority = TRAINER_PRIORITY
        if running.dispatch.share == waiting.LIVE:
            priority = LIVE_PRIORITY
        finish_reason = ''
        # Once the request is being sent, the engine may run it.
        running.sent = True
        stream = self.engine.generate(
            attempt_id, work.path, work.body, work.resume_text, priority
        )
        try:
            async for chunk in stream:
                finish_reason = chunk.finish_reason or finish_reason
                if not chunk.text:
                    continue
                self.tokens += chunk.tokens
                version = self.weights.resolve_version(chunk.version)
                running.session.send(
                    messages.Chunk(
                        attempt_id, chunk.text, chunk.tokens, version
                    )
                )
        except engines.EngineError as error:
            outcome = 'may-have-run' if error.sent else 'not-run'
            return messages.Done(attempt_id, outcome, str(error))
        finally:
            await stream.aclose()
        return messages.Done(
            attempt_id, 'answered', finish_reason=finish_reason
        )

    async def run_call(self, work, running):
        """Run a call on the plain service.

        :returns: the :class:`messages.Done`
        """
        attempt_id = running.dispatch.id
        http = self._http if work.idempotent else self._http_once
        headers = []
        for name, value in work.headers:
            if name.lower() not in UNFORWARDED_HEADERS:
                headers.append((name, value))
        running.sent = True
        try:
            async with http.request(
                work.method,
                f'{self.service_url}/{work.path}',
                headers=headers,
                data=work.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=self._call_timeout_s, sock_connect=2.0
                ),
            ) as response:
                body = await response.content.read(-1)
                status = response.status
                answer_headers = _filter_headers(response.headers)
        except aiohttp.ClientConnectorError as error:
            return messages.Done(attempt_id, 'not-run', repr(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return messages.Done(attempt_id, 'may-have-run', repr(error))
        if not statuses.is_defined(status):
            return messages.Done(
                attempt_id,
                'may-have-run',
                f'no HTTP response: status {status}',
            )
        if len(body) > ANSWER_MAX_BYTES:
            return messages.Done(
                attempt_id,
                'may-have-run',
                f'the answer has {len(body)} bytes: at most '
                f'{ANSWER_MAX_BYTES} are passed on',
            )
        return messages.Done(
            attempt_id,
            'answered',
            status=status,
            headers=answer_headers,
            body=body,
        )


def _filter_headers(headers):
    forwarded = []
    for name, value in headers.items():
        if name.lower() not in UNFORWARDED_HEADERS:
            # aiohttp returns subclasses of str, which msgspec cannot encode.
            forwarded.append((str(name), str(value)))
    return forwarded


@functools.singledispatch
async def run_work(work, runner, running):
    """Run an attempt's work with the method for its type.

    :param work: a :class:`messages.Generate` or :class:`messages.Call`
    :param runner: the :class:`AttemptRunner`
    :param running: the running attempt
    :returns: the :class:`messages.Done`
    """
    raise TypeError(f'{type(work).__name__}: expected Generate or Call')


@run_work.register
async def _run_generate(work: messages.Generate, runner, running):
    return await runner.run_generate(work, running)


@run_work.register
async def _run_call(work: messages.Call, runner, running):
    return await runner.run_call(work, running)
