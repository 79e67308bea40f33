"""Serves the submissions of trainers at a gateway.

Submissions are recorded in the ledger, and the leader runs them. Calls on
them are answered by the leader, or from the ledger if it does not answer.
"""

import asyncio
import collections
import random
import time

from clementineline.coordination import authorization
from clementineline.coordination import endpointchoice
from clementineline.coordination import opensubmissions
from clementineline.daemons import retryafter
from clementineline import errors
from clementineline.state import dialect as dialects
from clementineline.state import questions

__all__ = ['SubmissionService']

ACCEPT_RETRY_DELAY_S = 0.05
ACCEPT_TIMEOUT_S = 4.0
ENDED_SUBMISSIONS_MAX = 2000


class _Denied(Exception):
    """The reader may not use the submission."""


class SubmissionService:
    """Records submissions and serves the calls on them.

    :param ledger: the :class:`~ledger.Ledger`
    :param leader_client: the :class:`~leaders.LeaderClient` that asks the
        owner of the submissions
    :param authorizer: the :class:`~authorization.Authorizer`
    :param dialect: the platform's dialect
    :param budget: the :class:`~buffers.BufferBudget` of the process
    :param metrics: the :class:`~metrics.Metrics` of the process
    :param log: logger
    :param get_table: returns the route table in force, None before the first
    :param refuse: refuses a request; called with the request, its facts, the
        status, the reason and, with 503, the Retry-After in seconds
    :param count_refusal: counts a refusal by its reason
    :param count_access_refusal: counts a refusal by its
        :class:`~authorization.Access`
    :param start_task: starts a background task; called with its coroutine and
        its name
    """

    __slots__ = (
        '_authorizer',
        '_budget',
        '_count_access_refusal',
        '_count_refusal',
        '_dialect',
        '_ended',
        '_get_table',
        '_keyless_reads',
        '_leader_client',
        '_ledger',
        '_log',
        '_metrics',
        '_refuse',
        '_start_task',
    )

    def __init__(
        self,
        ledger,
        leader_client,
        authorizer,
        dialect,
        budget,
        metrics,
        log,
        *,
        get_table,
        refuse,
        count_refusal,
        count_access_refusal,
        start_task,
    ):
        self._ledger = ledger
        self._leader_client = leader_client
        self._authorizer = authorizer
        self._dialect = dialect
        self._budget = budget
        self._metrics = metrics
        self._log = log
        self._get_table = get_table
        self._refuse = refuse
        self._count_refusal = count_refusal
        self._count_access_refusal = count_access_refusal
        self._start_task = start_task
        self._keyless_reads = authorization.KeylessReads()
        # Ended submissions, so that a repeated end needs no write: by id, the
        # OrganisationAnswer, None if it was not needed.
        self._ended = collections.OrderedDict()

    async def submit(self, incoming, facts, access):
        """Record a submission in the ledger and repeat ambiguous writes.

        :param access: its :class:`~authorization.Access`
        """
        decoded = self._budget.open(lambda: None)
        size = self._dialect.estimate_decoded_bytes(incoming.body)
        if not decoded.add(size):
            self._count_refusal('memory')
            self._refuse(
                incoming, facts, 503, 'memory is short', retryafter.MEMORY_S
            )
            return
        # From here on the submission may be in the store.
        decoded.end = None
        try:
            await self._record_submission(incoming, facts, access)
        finally:
            decoded.release()

    async def _record_submission(self, incoming, facts, access):
        route = access.route
        service = endpointchoice.choose_service(route.targets, random.random())
        try:
            submission = self._dialect.decode_submission(
                facts,
                route,
                service,
                incoming.body,
                time.time(),
                access.routes_version,
                access.organisation,
            )
        except errors.RequestError as error:
            self._refuse(incoming, facts, error.status, str(error))
            return
        incoming.drop_body()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ACCEPT_TIMEOUT_S
        ambiguous = False
        while True:
            try:
                taken = await self._accept(submission)
                if taken is None:
                    break
                status = await self._judge_taken_id(
                    taken, submission, facts.key, deadline
                )
                if status == 202:
                    break
                self._refuse(incoming, facts, status, 'id is taken')
                return
            except errors.AmbiguousWrite as error:
                ambiguous = True
                reason = str(error)
            except errors.PlatformError as error:
                reason = str(error)
                if not ambiguous:
                    self._refuse(
                        incoming, facts, 503, reason, retryafter.STORE_S
                    )
                    return
            if loop.time() > deadline:
                # The write may still take effect, so the status must not
                # say that the submission was refused.
                self._refuse(incoming, facts, 504, reason)
                return
            await asyncio.sleep(ACCEPT_RETRY_DELAY_S)
        # An earlier submission of the id may have been ended and removed.
        self._ended.pop(submission.id, None)
        self._metrics.count('submissions_total', verb='submit', status=202)
        self._log.info(
            'submission accepted',
            request=facts.request_id,
            route=route.name,
            step=submission.step,
            items=len(submission.items),
            took_ms=round((loop.time() - incoming.arrived_at) * 1000),
        )
        incoming.respond(202, (), b'')

    async def _accept(self, submission):
        """Record a submission.

        :returns: None if it is recorded; the
            :class:`~questions.OrganisationAnswer` of the recorded one if
            another organisation seems to have used its id
        :raises errors.AmbiguousWrite: if it may be recorded
        :raises errors.PlatformError: if it is not recorded
        """
        if await self._ledger.accept(submission):
            return None
        if submission.organisation is None:
            return None
        try:
            found = await self._find_organisation(submission.id)
        except errors.PlatformError as error:
            raise errors.AmbiguousWrite(f'id is taken: {error}') from error
        if found is None:
            raise errors.AmbiguousWrite('id is taken, its record not found')
        if authorization.may_repeat(
            found.organisation, submission.organisation
        ):
            return None
        return found

    async def _judge_taken_id(self, taken, submission, key, deadline):
        """Decide on a submission whose id another organisation seems to use.

        A newer manifest may give the key to that organisation, which then
        repeats a submission that was accepted.

        :param taken: what :meth:`_accept` returned
        :param deadline: loop time of the latest decision, in seconds
        :returns: HTTP status: 202 for a repeat, 400 for a refusal, 504 if it
            cannot be decided in time
        """
        loop = asyncio.get_running_loop()
        while True:
            access = await self._authorizer.authorize_reader(
                key, submission.organisation
            )
            if access.status in (401, 404):
                return 400
            if not access.status:
                repeats = authorization.may_repeat(
                    taken.organisation, access.organisation
                )
                return 202 if repeats else 400
            if loop.time() + access.retry_after_s > deadline:
                return 504
            await asyncio.sleep(access.retry_after_s)

    async def _find_organisation(self, submission_id, reader=None):
        """Find the organisation of a submission.

        The leader knows it, so that the store is seldom asked.

        :param reader: as for :meth:`_read_record`
        :returns: a :class:`~questions.OrganisationAnswer`; None if the
            submission is unknown
        :raises errors.PlatformError: if the ledger cannot be read
        """
        question = questions.FindOrganisation(submission_id)
        answer = await self._ask_owner(question)
        if answer is not None:
            return answer
        record = await self._read_record(submission_id, reader)
        if record is None:
            return None
        return questions.OrganisationAnswer(record.submission.organisation)

    async def _read_record(self, submission_id, reader):
        """Read a submission's object from the ledger.

        :param reader: organisation of the caller; '' without a valid key
        :returns: as :meth:`~ledger.Ledger.read_record`
        :raises errors.PlatformError: if it cannot be read, or too many
            callers without a valid key cause reads
        """
        if reader == '':
            now = asyncio.get_running_loop().time()
            if not self._keyless_reads.take(now):
                raise errors.PlatformUnavailable(
                    'too many reads for calls without a valid key'
                )
        return await self._ledger.read_record(submission_id)

    async def serve(self, incoming, call):
        """Answer a call on a submission.

        :param call: its :class:`~dialect.BatchCall`
        """
        if self._get_table() is None:
            # Organisations may be in force.
            headers = self._dialect.build_retry_headers(retryafter.NOT_READY_S)
            incoming.respond(503, headers, b'no configuration yet\n')
            return
        reader = self._authorizer.name_reader(call.key)
        try:
            status, headers, body = await self._serve_batch(call, reader)
        except _Denied:
            status, headers, body = await self._serve_denied(call, reader)
        self._metrics.count(
            'submissions_total', verb=call.verb.value, status=status
        )
        if status in (401, 404):
            self._log.info(
                'submission not found' if status == 404 else 'no valid key',
                submission=call.submission_id,
                verb=call.verb.value,
                item=call.item_id,
            )
        incoming.respond(status, headers, body)

    async def _serve_denied(self, call, denied):
        """Serve a call on a submission that its reader may not use.

        Another process may know a newer manifest, which allows it.

        :param denied: as :meth:`~authorization.Authorizer.name_reader`
            returned it
        :returns: ``(status, headers, body)``
        """
        access = await self._authorizer.authorize_reader(call.key, denied)
        if not access.status:
            try:
                return await self._serve_batch(call, access.organisation)
            except _Denied:
                # The next call is decided with the table that is known now.
                access = authorization.Access(503, 'key changed moments ago')
        self._count_access_refusal(access)
        if access.status == 503:
            headers = self._dialect.build_retry_headers(access.retry_after_s)
            return 503, headers, f'{access.reason}\n'.encode()
        if access.status == 404:
            # The same response as for a submission that does not exist.
            return 404, (), b''
        return access.status, (), f'{access.reason}\n'.encode()

    async def _serve_batch(self, call, reader):
        """Serve a call on a submission.

        :param reader: as :meth:`~authorization.Authorizer.name_reader`
            returns it
        :returns: ``(status, headers, body)``
        :raises _Denied: if the reader may not use the submission
        """
        handle = {
            dialects.BatchVerb.READ_RESULTS: self._read_results,
            dialects.BatchVerb.READ_ITEM: self._read_item,
            dialects.BatchVerb.END: self._end_submission,
        }[call.verb]
        try:
            return await handle(call, reader)
        except errors.ClementinelineError as error:
            self._log.info(
                'submission call failed',
                submission=call.submission_id,
                verb=call.verb.value,
                reason=str(error),
            )
            if isinstance(error, errors.AmbiguousWrite):
                # The end may be recorded, so the status must not say that
                # the call was refused.
                return 504, (), b''
            headers = self._dialect.build_retry_headers(retryafter.STORE_S)
            return 503, headers, b''

    async def _ask_owner(self, question, wait_s=0.0):
        """Send a question to the owner of the submissions.

        :param wait_s: longest time that the owner may wait before it answers,
            in seconds
        :returns: the answer; None if the ledger must be read instead
        """
        try:
            answer = await self._leader_client.ask(question, wait_s)
        except errors.ClementinelineError as error:
            self._log.info('owner did not answer', reason=str(error))
            return None
        return (
            None if isinstance(answer, questions.UnknownSubmission) else answer
        )

    async def _read_results(self, call, reader):
        question = questions.ReadResults(
            call.submission_id, call.after, call.wait_s, reader
        )
        answer = await self._ask_owner(question, call.wait_s)
        if isinstance(answer, questions.Denied):
            raise _Denied
        if answer is not None:
            page = answer.page
        else:
            page = await self._read_recorded(call, reader)
            if page is None:
                return _answer_missing(reader)
        headers = ((b'Content-Type', b'application/json'),)
        return 200, headers, self._dialect.encode_page(page)

    async def _read_submission(self, submission_id, reader):
        """Read a submission from the ledger.

        :returns: the :class:`~submissions.Submission`; None if it is unknown
        :raises _Denied: if the reader may not use it
        """
        record = await self._read_record(submission_id, reader)
        if record is None:
            return None
        if not authorization.may_use(record.submission.organisation, reader):
            raise _Denied
        return await self._ledger.complete(record)

    async def _read_recorded(self, call, reader=None):
        """Read a page of results from the ledger.

        :returns: the page; None if the submission is unknown
        :raises _Denied: if the reader may not use it
        """
        submission = await self._read_submission(call.submission_id, reader)
        if submission is None:
            return None
        results = []
        for chunk in await self._ledger.read_chunks(call.submission_id):
            results.extend(chunk.results)
        return opensubmissions.build_page(submission, results, call.after)

    async def _read_item(self, call, reader):
        """Read the body of an item that has no result yet."""
        question = questions.ReadBody(call.submission_id, call.item_id, reader)
        answer = await self._ask_owner(question)
        if isinstance(answer, questions.Denied):
            raise _Denied
        if answer is not None:
            body = answer.body
        else:
            submission = await self._read_submission(
                call.submission_id, reader
            )
            if submission is None:
                return _answer_missing(reader)
            listed_ids = set()
            for chunk in await self._ledger.read_chunks(call.submission_id):
                listed_ids.update(result.item_id for result in chunk.results)
            body = opensubmissions.find_body(
                submission, listed_ids, call.item_id
            )
        if body is None:
            return 404, (), b''
        return 200, ((b'Content-Type', b'application/octet-stream'),), body

    async def _notify_owner(self, submission_id):
        """Notify the owner of a submission's end.

        A lost notification only delays the owner, whose watch of the store
        reports the end as well.
        """
        await self._ask_owner(questions.SubmissionEnded(submission_id))

    async def _repeat_end(self, submission_id):
        """Record an end that may be recorded already.

        :returns: whether the submission exists
        :raises errors.AmbiguousWrite: if the store does not answer
        """
        try:
            return await self._ledger.end(submission_id)
        except errors.PlatformError as error:
            raise errors.AmbiguousWrite(str(error)) from error

    async def _end_submission(self, call, reader):
        known = self._ended.get(call.submission_id)
        ended = call.submission_id in self._ended
        if reader is not None and (
            known is None
            or not authorization.may_use(known.organisation, reader)
        ):
            found = await self._find_organisation(call.submission_id, reader)
            if found is None:
                return _answer_missing(reader)
            if not authorization.may_use(found.organisation, reader):
                raise _Denied
            if known is not None and found != known:
                # Another organisation has used the id again since.
                ended = False
            known = found
        if not ended:
            try:
                found = await self._ledger.end(call.submission_id)
            except errors.AmbiguousWrite:
                # The write is idempotent, so it can be repeated.
                found = await self._repeat_end(call.submission_id)
            if not found:
                return 404, (), b''
            self._ended[call.submission_id] = known
            self._start_task(self._notify_owner(call.submission_id), 'end')
            if len(self._ended) > ENDED_SUBMISSIONS_MAX:
                self._ended.popitem(last=False)
        return 200, (), b''


def _answer_missing(reader):
    """Answer a call on a submission that does not exist.

    Without a valid key, a caller does not learn which submissions exist.

    :param reader: as :meth:`~authorization.Authorizer.name_reader` returns it
    :returns: ``(status, headers, body)``
    :raises _Denied: if the reader has no valid key
    """
    if reader == '':
        raise _Denied
    return 404, (), b''
