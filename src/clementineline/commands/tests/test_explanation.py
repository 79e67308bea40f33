"""Tests of the explanation of an id from log files."""

import json

import pytest

from clementineline.commands import main


def build_line(second, process, event, **fields):
    return {
        'timestamp': f'2026-05-01T00:00:{second:02d}Z',
        'process': process,
        'event': event,
        **fields,
    }


REFUSED_CALL = [
    build_line(1, 'front-1', 'route table adopted', version=7),
    build_line(
        2,
        'front-1',
        'attempt',
        request='r1',
        endpoint='i-1',
        verdict='not-run',
        reason='endpoint refused with 503',
    ),
    build_line(3, 'front-1', 'refused', request='r1', status=503),
    build_line(3, 'front-1', 'attempt', request='r2', verdict='answered'),
]
LOST_CALL = [
    build_line(
        4,
        'front-1',
        'attempt',
        request='r3',
        endpoint='i-2',
        verdict='may-have-run',
        reason='connection lost',
    ),
    build_line(5, 'front-1', 'refused', request='r3', status=502),
]
LATE_ITEM = [
    build_line(1, 'front-2', 'submission accepted', request='s1', items=2),
    build_line(1, 'store-1', 'submission opened', submission='s1', step=4),
    build_line(
        2,
        'store-1',
        'item run',
        request='i1',
        submission='s1',
        endpoint='e-1',
        end='broken',
        reason='cancelled',
    ),
    build_line(3, 'store-1', 'platform lost', reason='TimeoutError()'),
    build_line(
        9,
        'store-1',
        'item run',
        request='i1',
        submission='s1',
        end='completed',
    ),
    build_line(9, 'store-1', 'item run', request='i2', submission='s1'),
    build_line(9, 'store-1', 'results recorded', submission='s1', chunk=0),
]
UNLOADED_VERSION = [
    build_line(1, 'store-1', 'version named', model='m0', version=5),
    build_line(
        2,
        'store-1',
        'order not answered',
        endpoint='e-1',
        model='m0',
        reason='TimeoutError()',
    ),
]
UNSCORED_ITEM = [
    build_line(1, 'store-1', 'item run', request='i1', submission='s1'),
    build_line(
        2,
        'store-1',
        'attempt',
        request='c1',
        endpoint='e-9',
        verdict='may-have-run',
        reason='connection lost',
    ),
    build_line(
        2,
        'store-1',
        'reward call',
        request='c1',
        item='i1',
        submission='s1',
        scored=False,
    ),
    build_line(2, 'store-1', 'attempt', request='c2', endpoint='e-8'),
]


@pytest.fixture
def explain(tmp_path, monkeypatch, capsys):
    def run(lines, subject):
        path = tmp_path / 'log'
        prefixed = [f'  1.0 front-1 {json.dumps(line)}' for line in lines]
        path.write_text('not a line\n' + '\n'.join(prefixed) + '\n{"cut')
        arguments = ['clementineline', 'explain', subject]
        monkeypatch.setattr('sys.argv', [*arguments, '--log', str(path)])
        code = 0
        try:
            main.run()
        except SystemExit as error:
            code = error.code or 0
        return code, capsys.readouterr().out

    return run


class TestExplainFromLogs:
    """Only the lines that explain the outcome are selected.

    The log file also holds lines that are not JSON or are truncated, as a
    collected log of several processes does.
    """

    def test_refused_call_names_the_endpoint_and_the_reason(self, explain):
        code, printed = explain(REFUSED_CALL, 'r1')
        assert code == 0
        assert 'endpoint refused with 503' in printed
        assert 'status=503' in printed
        assert 'r2' not in printed

    def test_failed_call_names_the_lost_connection(self, explain):
        _, printed = explain(LOST_CALL, 'r3')
        assert 'may-have-run' in printed
        assert 'connection lost' in printed

    def test_late_item_shows_its_submission_and_the_outage(self, explain):
        _, printed = explain(LATE_ITEM, 'i1')
        assert 'submission accepted' in printed
        assert 'platform lost' in printed
        assert 'results recorded' in printed
        assert 'request=i2' not in printed

    def test_unscored_item_shows_the_attempts_of_its_reward_call(
        self, explain
    ):
        _, printed = explain(UNSCORED_ITEM, 'i1')
        assert 'endpoint=e-9' in printed
        assert 'scored=False' in printed
        assert 'request=c2' not in printed

    def test_unloaded_version_names_the_failed_order(self, explain):
        _, printed = explain(UNLOADED_VERSION, 'm0')
        assert 'order not answered' in printed
        assert 'endpoint=e-1' in printed

    def test_unknown_id_fails_without_output(self, explain):
        code, printed = explain(REFUSED_CALL, 'nothing')
        assert code == 1
        assert printed == ''
