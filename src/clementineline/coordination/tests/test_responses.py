"""Tests of what a response proves of the request that it answers."""

import itertools

import pytest

from clementineline.coordination import responses
from clementineline.protocol import verdicts
from clementineline.state import dialect

REFUSALS = (408, 421, 429, 503)
STATUSES = range(200, 600)
SIGNATURES = ('stamp', None)
HEADERS = ((b'X', b'y'),)


def judge(
    status,
    request_id='r1',
    not_run=False,
    signature='stamp',
    repeatable=False,
    leaving=False,
):
    """Judge a response to the request r1."""
    facts = dialect.ReplyFacts(
        request_id, not_run, signature, None, None, 1.0, None, leaving=leaving
    )
    return responses.judge_response(
        status, HEADERS, b'body', facts, 'r1', repeatable
    )


class TestPromises:
    """Callers take some statuses for a promise that nothing has run.

    Guards against a 503 of an endpoint that ran a request (review/6).
    """

    @pytest.mark.parametrize('signature', SIGNATURES)
    def test_status_alone_is_no_promise(self, signature):
        for status in STATUSES:
            verdict = judge(status, signature=signature)
            if status == 421:
                # Only another endpoint at the address answers so.
                assert isinstance(verdict, verdicts.NotRun)
                continue
            assert not isinstance(verdict, verdicts.NotRun)
            if status in REFUSALS:
                assert isinstance(verdict, verdicts.MayHaveRun)
            elif status >= 300:
                assert verdict == verdicts.Answered(status, HEADERS, b'body')

    @pytest.mark.parametrize('signature', SIGNATURES)
    def test_statement_counts_with_any_status(self, signature):
        for status in STATUSES:
            verdict = judge(status, not_run=True, signature=signature)
            assert isinstance(verdict, verdicts.NotRun)

    def test_repeatable_request_gets_the_status_of_the_endpoint(self):
        for status in (408, 429, 503):
            assert judge(status, repeatable=True).status == status

    @pytest.mark.parametrize(
        ('not_run', 'status', 'signature'),
        list(itertools.product((False, True), STATUSES[::50], SIGNATURES)),
    )
    def test_response_to_another_request_proves_nothing(
        self, not_run, status, signature
    ):
        verdict = judge(status, 'r2', not_run, signature)
        assert isinstance(verdict, verdicts.MayHaveRun)

    def test_refusal_without_an_id(self):
        assert isinstance(judge(503, '', True), verdicts.NotRun)
        for status in REFUSALS:
            assert isinstance(judge(status, ''), verdicts.MayHaveRun)

    def test_success_needs_a_signature(self):
        assert isinstance(judge(200), verdicts.Answered)
        assert isinstance(judge(200, signature=None), verdicts.MayHaveRun)

    def test_endpoint_has_no_room_unless_it_leaves(self):
        assert judge(503, not_run=True).no_room
        assert not judge(503, not_run=True, leaving=True).no_room
        assert not judge(421, not_run=True).no_room


class TestSurvival:
    @pytest.mark.parametrize(
        ('status', 'given', 'survived'),
        [
            (200, {}, True),
            (500, {}, True),
            (503, {}, True),
            (503, {'not_run': True}, False),
            (421, {}, False),
            (503, {'request_id': ''}, False),
            (200, {'request_id': 'r2'}, False),
        ],
    )
    def test_endpoint_outlives_what_it_answers(self, status, given, survived):
        """A 503 for a request that ran left it barred (review/6 and 9)."""
        request_id = given.get('request_id', 'r1')
        facts = dialect.ReplyFacts(
            request_id, False, 'stamp', None, None, 1.0, None
        )
        found = responses.shows_survival(judge(status, **given), facts, 'r1')
        assert found is survived
