"""Counting and adding up requests, without a network."""

import asyncio
import types

import pytest

from clementineline.coordination import usage
from clementineline.coordination import usagereports
from clementineline import errors
from clementineline.protocol import verdicts
from clementineline.state import questions
from clementineline.state import settings

WINDOW_S = 5.0


def state_usage(member, windows, complete_through=0, incarnation=1, **fields):
    return questions.StatedUsage(
        member, incarnation, complete_through, windows, **fields
    )


@pytest.fixture
def collector(clock):
    return usage.UsageCollector(WINDOW_S, clock.now)


class TestBeginningNotice:
    @pytest.mark.parametrize(
        ('verdict', 'count'),
        [
            (verdicts.Answered(500, (), b''), 1),
            (verdicts.MayHaveRun('reset'), 1),
            (None, 1),
            (verdicts.NotRun('refused'), 0),
        ],
    )
    async def test_only_a_refusal_is_not_counted(self, verdict, count):
        # A refused attempt that counts makes an organisation pay for nothing.
        noted = []
        notice = usage.BeginningNotice(lambda *found: noted.append(found), 'n')
        notice.note_sent()
        notice.end(verdict)
        assert [name for name, _ in noted] == ['n'] * count

    async def test_attempt_without_an_answer_counts_once(self):
        # A call that hangs was counted only after its window was reported.
        noted = []
        notice = usage.BeginningNotice(lambda *found: noted.append(found), 'n')
        notice.note_sent(0.01)
        await asyncio.sleep(0.05)
        assert len(noted) == 1
        notice.end(verdicts.MayHaveRun('time limit'))
        assert len(noted) == 1


class TestUsageMeter:
    def test_changes_hold_whole_counts_of_changed_windows(self, clock):
        # A statement that is lost must not take its requests with it.
        meter = usage.UsageMeter(WINDOW_S, clock.now)
        meter.count('north', 1000.0)
        assert meter.take_changes() == {200: {'north': 1}}
        assert meter.take_changes() == {}
        meter.count('north', 1004.99)
        meter.count('south', 1005.0)
        meter.count('', 1001.0)
        assert meter.take_changes() == {
            200: {'north': 2},
            201: {'south': 1},
        }

    def test_window_is_complete_once_hanging_calls_have_counted(self, clock):
        # A window that is stated too early lacks its last calls.
        meter = usage.UsageMeter(WINDOW_S, clock.now)
        clock.time_s = 1005.0 + usage.UNANSWERED_COUNT_S - 0.01
        assert meter.get_complete_through() == 199
        clock.time_s += 0.02
        assert meter.get_complete_through() == 200

    def test_fixed_and_old_windows_are_forgotten(self, clock):
        # Without this a gateway grows for as long as no keeper leads.
        meter = usage.UsageMeter(WINDOW_S, clock.now)
        meter.count('north', 1000.0)
        meter.count('north', 1005.0)
        meter.forget(200)
        assert meter.list_all() == {201: {'north': 1}}
        meter.count('north', 1000.0)
        assert meter.late == 1
        clock.time_s += usage.RETAIN_S + 10.0
        meter.forget()
        assert meter.list_all() == {}


class TestUsageCollector:
    def test_repeated_and_overtaken_statements_count_once(self, collector):
        # Statements that are added up count a request twice.
        for count in (1, 3, 2, 3):
            collector.add(state_usage('g1', {7: {'north': count}}))
        collector.add(state_usage('g2', {7: {'north': 1}}))
        assert collector.sum_counts(7) == {'north': 4}

    def test_restarted_gateway_adds_to_what_it_sent_before(self, collector):
        # The counts of a killed gateway were replaced by those of its next
        # start.
        collector.add(state_usage('g1', {7: {'north': 5}}))
        collector.add(state_usage('g1', {7: {'north': 1}}, incarnation=2))
        assert collector.sum_counts(7) == {'north': 6}

    def test_members_without_complete_counts_are_missing(
        self, collector, clock
    ):
        # A report without the counts of a slow gateway can never be mended.
        collector.add(state_usage('g1', {}, 7))
        collector.add(state_usage('g2', {}, 6))
        collector.add(state_usage('g3', {}, 6, final=True))
        collector.add(state_usage('new', {}, 6))
        registered = {'g1', 'g2', 'g3', 'g4'}
        assert collector.list_missing(7, registered) == ['g2', 'g4', 'new']
        clock.time_s += usage.SILENT_MEMBER_S
        assert collector.list_missing(7, registered) == ['g2', 'g4']

    def test_stopped_gateway_is_remembered_while_it_is_registered(
        self, collector, clock
    ):
        # Each window waited for it until its member was removed.
        collector.add(state_usage('g1', {}, 7, final=True), relayed=True)
        clock.time_s += usage.RETAIN_S + 10.0
        collector.forget()
        assert collector.list_missing(20, {'g1'}) == []
        clock.time_s += usage.RETAIN_S
        collector.forget()
        assert collector.list_missing(20, {'g1'}) == ['g1']

    def test_next_start_of_a_stopped_gateway_is_missing(self, collector):
        # A gateway that was restarted for an update was not waited for.
        collector.add(state_usage('g1', {}, 7, final=True))
        collector.add(state_usage('g1', {}, 6, incarnation=2))
        assert collector.list_missing(7, {'g1'}) == ['g1']


class Members:
    """Answers to ReadUsage, by name of the gateway; None for no answer."""

    def __init__(self, answers):
        self.addresses = dict.fromkeys(answers, '127.0.0.1:1')
        self.answers = answers
        self.keepers = set()
        self.listed = asyncio.Event()
        self.listed.set()

    def may_ask(self, name):
        return True

    async def ask(self, name, question, timeout_s):
        if self.answers[name] is None:
            raise errors.ConnectionLost('no answer')
        return questions.UsageAnswer([self.answers[name]])


class TestUsageReporter:
    def build_reporter(self, members, collector, clock, log):
        reporter = usagereports.UsageReporter(
            None,
            collector,
            members,
            None,
            None,
            settings.DutySettings(address='127.0.0.1:1'),
            types.SimpleNamespace(),
            log,
            clock.now,
        )
        reporter._peers = members
        return reporter

    async def test_changes_alone_do_not_complete_a_window(
        self, collector, clock, log, monkeypatch
    ):
        # A keeper that was restarted got only changes from a gateway that
        # took it for the old process, and fixed windows without the counts
        # that the old process was told.
        monkeypatch.setattr(usagereports, 'ASK_INTERVAL_S', 0.0)
        window = int(clock.now() // WINDOW_S)
        members = Members({'gateway-1': None})
        reporter = self.build_reporter(members, collector, clock, log)
        clock.time_s = (window + 1) * WINDOW_S + 2.0
        collector.add(state_usage('gateway-1', {}, window))
        assert not await reporter._is_collected(window)
        members.answers['gateway-1'] = state_usage(
            'gateway-1', {window: {'north': 3}}, window
        )
        assert await reporter._is_collected(window)
        assert collector.sum_counts(window) == {'north': 3}

    async def test_stopped_gateway_need_not_answer(
        self, collector, clock, log
    ):
        # It stays registered for a minute, in which each window would wait.
        window = int(clock.now() // WINDOW_S)
        members = Members({'gateway-1': None})
        reporter = self.build_reporter(members, collector, clock, log)
        clock.time_s = (window + 1) * WINDOW_S + 2.0
        collector.add(state_usage('gateway-1', {}, window - 1, final=True))
        assert await reporter._is_collected(window)
