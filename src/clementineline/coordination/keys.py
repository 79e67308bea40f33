"""Calls with an idempotency key, which run at most once per key.

Each key has two homes, a primary and a backup: sidecars of the roster in the
configuration that hold the key's record. An entry claims the key at both
homes before it dispatches the call, and stores the first answer at both
afterwards, so that a repeat through any entry finds the claim or the answer.
After a change of the roster, an entry claims a key at the new homes only
after it has queried a home of each earlier roster that may still hold a
record of the key.
"""

import asyncio
import dataclasses
import uuid

from clementineline.coordination import requests
from clementineline.coordination import roster as rosters
from clementineline import errors
from clementineline.protocol import messages
from clementineline.protocol import verdicts

__all__ = ['KeyedCalls', 'PendingAnswers']

CLAIM_TIMEOUT_S = 2.0
ROSTER_RETRY_DELAY_S = 0.1
ATTEMPTS_MAX = 8
STORED_ANSWER_MAX_BYTES = 64 * 1024


class PendingAnswers:
    """Holds futures for the answers that this process awaits, by call id."""

    __slots__ = ('_futures',)

    def __init__(self):
        self._futures = {}

    async def ask(self, session, message, timeout_s):
        """Send a message and wait for the answer to its call id.

        :param timeout_s: longest wait, in seconds
        :raises errors.ConnectionLost: if no answer arrives in time
        """
        future = asyncio.get_running_loop().create_future()
        self._futures[message.call_id] = future
        session.send(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise errors.ConnectionLost(
                f'{session.peer.name}: no answer in {timeout_s} s'
            ) from error
        finally:
            del self._futures[message.call_id]

    def resolve(self, answer):
        """Pass an answer to the task that waits for its call id, if any."""
        future = self._futures.get(answer.call_id)
        if future is not None and not future.done():
            future.set_result(answer)


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """Result of a look-up or a claim of a key at its homes.

    :param record: record that holds the key
    :param granted: whether the claim succeeded, so that the attempt in the
        record may be dispatched
    """

    record: messages.KeyRecord
    granted: bool


class _HomesUnavailable(Exception):
    """Raised if the homes of a key cannot answer; no attempt was sent."""


class KeyedCalls:
    """Runs calls that carry an idempotency key, at most once per key.

    :param runner: a :class:`~running.RequestRunner`
    :param router: a :class:`~routing.Router`
    :param configuration: the configuration in force
    :param get_endpoint: function from a sidecar's name to its Endpoint
    :param pending: the process's :class:`PendingAnswers`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    """

    __slots__ = (
        '_clock',
        '_configuration',
        '_decisions',
        '_get_endpoint',
        '_pending',
        '_router',
        '_runner',
        '_running',
    )

    def __init__(
        self,
        runner,
        router,
        configuration,
        get_endpoint,
        pending,
        clock,
        decisions,
    ):
        self._runner = runner
        self._router = router
        self._configuration = configuration
        self._get_endpoint = get_endpoint
        self._pending = pending
        self._clock = clock
        self._decisions = decisions
        self._running = {}

    async def call(self, key, fingerprint, request):
        """Run a keyed call, or return the first answer to its key.

        :param key: the caller's key, with the service's name before it
        :param fingerprint: digest of the request's method, path and body
        :param request: a :class:`~requests.CallRequest`
        :returns: the verdict
        :raises errors.RequestError: if the key was first used for another
            request
        """
        running = self._running.get(key)
        if running is None or running[1].done():
            # The task continues if the caller disconnects, because the answer
            # must be stored at the homes.
            task = asyncio.create_task(self._run(key, fingerprint, request))
            running = (fingerprint, task)
            self._running[key] = running
            task.add_done_callback(lambda _: self._remove_running(key, task))
        _check_fingerprint(key, running[0], fingerprint)
        return await asyncio.shield(running[1])

    def _remove_running(self, key, task):
        running = self._running.get(key)
        if running is not None and running[1] is task:
            del self._running[key]

    async def _run(self, key, fingerprint, request):
        generation = 0
        verdict = verdicts.NotRun('no attempt was possible')
        for number in range(1, ATTEMPTS_MAX + 1):
            try:
                claim = await self._claim(
                    key, fingerprint, request, generation, number
                )
            except _HomesUnavailable as error:
                return verdicts.NotRun(f'key records: {error}')
            if isinstance(claim, verdicts.NotRun):
                return claim
            _check_fingerprint(key, claim.record.fingerprint, fingerprint)
            if claim.granted:
                verdict = await self._run_claimed(claim.record, request)
            else:
                verdict = await self._replay(claim.record)
            if not isinstance(verdict, verdicts.NotRun):
                return verdict
            # The attempt that holds the key never ran and never will, so a
            # claim of the next generation may replace it.
            generation = claim.record.generation
        return verdict

    async def _claim(self, key, fingerprint, request, generation, number):
        """Choose an endpoint and claim the key for a new attempt there.

        :param generation: generation of the record that the claim replaces;
            0 for none
        :param number: number of the attempt, from 1
        :returns: a :class:`_Claim`, or a NotRun verdict if no slot was free
        """
        held = await self._look_up(key, generation)
        if held is not None:
            return _Claim(held, granted=False)
        pool = self._router.get_pool('service', request.work.service)
        placement = await self._runner.wait_for_slot(pool, request, number)
        if isinstance(placement, verdicts.NotRun):
            return placement
        endpoint = placement.endpoint
        record = messages.KeyRecord(
            key,
            generation + 1,
            fingerprint,
            f'{request.id}.{number}.{uuid.uuid4().hex[:8]}',
            endpoint.name,
            endpoint.session.peer.incarnation if endpoint.session else 0,
        )
        granted = False
        try:
            holder = await self._store(key, record, generation)
            granted = holder.request_id == record.request_id
        finally:
            if not granted:
                endpoint.release(request.share)
        return _Claim(holder, granted)

    async def _look_up(self, key, generation):
        """Return the record that already holds the key, or None.

        Without earlier rosters nothing is looked up, because the claim itself
        returns the record that holds the key. With earlier rosters, the
        current homes may lack a record, so this method also queries the
        homes of the earlier rosters and copies a record that it finds to
        the current homes. A claim that replaces a known record needs no
        look-up either.

        :param generation: generation of the record that a claim will
            replace; 0 for none
        """
        roster = self._get_roster()
        if generation or not roster.earlier:
            return None
        primary = rosters.choose_homes(key, roster.homes)[0]
        answer = await self._query_home(primary, key, 0, None)
        if answer.outcome == 'held':
            return answer.record
        for homes in roster.earlier:
            if primary in rosters.choose_homes(key, homes):
                # The primary was a home of the key in this roster too, and
                # it has just answered that it holds no record.
                continue
            record = await self._query_earlier_homes(key, homes)
            if record is not None:
                return await self._store(key, record, 0)
        return None

    async def _query_earlier_homes(self, key, homes):
        """Return the record at the first reachable home of an old roster.

        :returns: the record, or None if that home holds none
        :raises _HomesUnavailable: if neither home answers
        """
        reasons = []
        for home in rosters.choose_homes(key, homes):
            try:
                answer = await self._query_home(home, key, 0, None)
            except _HomesUnavailable as error:
                reasons.append(str(error))
                continue
            return answer.record
        raise _HomesUnavailable(
            f'no home of an earlier roster answers: {"; ".join(reasons)}'
        )

    async def _store(self, key, record, generation):
        """Store a claim at both homes of the key.

        :param generation: generation of the record that the claim replaces;
            0 for none
        :returns: the record that now holds the key: the claim, or the record
            of another attempt
        """
        roster = self._get_roster()
        for home in rosters.choose_homes(key, roster.homes):
            answer = await self._query_home(
                home, key, generation, record, roster.version
            )
            if answer.outcome == 'held':
                return answer.record
            if answer.outcome != 'granted':
                raise _HomesUnavailable(answer.reason)
        return record

    async def _query_home(self, home, key, generation, record, version=None):
        """Send a claim or a look-up to a home; retry if its roster differs.

        :param record: the claim, or None for a look-up
        :param version: version of the roster that the home was chosen from,
            None for the current one; the query fails if the roster changes,
            because the homes must then be chosen again
        :returns: a :class:`messages.KeyAnswer`
        :raises _HomesUnavailable: if the home cannot answer
        """
        reason = ''
        if version is None:
            version = self._get_roster().version
        for _ in range(ATTEMPTS_MAX):
            endpoint = self._get_endpoint(home.name)
            # Fail at once instead of waiting for the home to reconnect: the
            # claim keeps a slot reserved.
            if endpoint is None or not endpoint.connected:
                raise _HomesUnavailable(f'{home.name}: no connection')
            if endpoint.session.peer.incarnation != home.incarnation:
                raise _HomesUnavailable(
                    f'{home.name}: restarted since the roster was made'
                )
            if version != self._get_roster().version:
                raise _HomesUnavailable('the roster has just changed')
            claim = messages.KeyClaim(
                uuid.uuid4().hex,
                version,
                key,
                generation,
                record,
            )
            try:
                answer = await self._pending.ask(
                    endpoint.session, claim, CLAIM_TIMEOUT_S
                )
            except errors.ConnectionLost as error:
                raise _HomesUnavailable(str(error)) from error
            if answer.outcome != 'refused':
                return answer
            reason = answer.reason
            if not reason.startswith('roster'):
                break
            await asyncio.sleep(ROSTER_RETRY_DELAY_S)
        raise _HomesUnavailable(f'{home.name}: {reason}')

    def _get_roster(self):
        roster = self._configuration.get('roster')
        if roster is None or not roster.homes:
            raise _HomesUnavailable('the configuration has no roster yet')
        return roster

    async def _run_claimed(self, record, request):
        endpoint = self._get_endpoint(record.endpoint)
        if endpoint is None or not endpoint.matches_incarnation(
            record.incarnation
        ):
            # The earlier incarnation may have refused this attempt for
            # good, and the new one does not know of the refusal.
            if endpoint is not None:
                endpoint.release(request.share)
            return verdicts.NotRun(f'{record.endpoint} has restarted')
        timeout_s = 0.0
        if request.deadline is not None:
            timeout_s = max(0.001, request.deadline - self._clock.now())
        attempt = endpoint.dispatch(
            messages.Dispatch(
                record.request_id,
                request.share,
                timeout_s,
                True,
                '',
                request.work,
            )
        )
        return await self._finish(record, attempt)

    async def _replay(self, record):
        """Return the verdict of the attempt that already holds the key."""
        self._decisions.record(
            'repeat',
            record.request_id,
            key=record.key,
            endpoint=record.endpoint,
            answered=record.answer is not None,
        )
        if record.answer is not None:
            return requests.build_verdict(record.answer)
        endpoint = self._get_endpoint(record.endpoint)
        if endpoint is None or endpoint.session is None:
            return verdicts.MayHaveRun(
                f'{record.endpoint}, which may have run it, is out of reach'
            )
        if not endpoint.matches_incarnation(record.incarnation):
            return verdicts.MayHaveRun(
                f'{record.endpoint}, which may have run it, has restarted'
            )
        return await self._finish(record, endpoint.attach(record.request_id))

    async def _finish(self, record, attempt):
        """Wait for an attempt's end and store its answer at the homes."""
        done = await attempt.events.get()
        verdict = requests.build_verdict(done)
        if isinstance(verdict, verdicts.Answered):
            if len(done.body) <= STORED_ANSWER_MAX_BYTES:
                self._store_answer(record, done)
        return verdict

    def _store_answer(self, record, done):
        roster = self._configuration.get('roster')
        for home in rosters.choose_homes(record.key, roster.homes):
            endpoint = self._get_endpoint(home.name)
            if endpoint is None or endpoint.session is None:
                continue
            endpoint.session.send(
                messages.KeySettle(record.key, record.request_id, done)
            )


def _check_fingerprint(key, known, given):
    if known != given:
        raise errors.RequestError(
            422,
            f'Idempotency-Key {key.partition("/")[2]!r}: was first used for '
            'another method, path or body; expected the same request',
        )
