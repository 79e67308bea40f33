"""Tests of the command line: exit codes and messages."""

import json
import socket

import pytest

from clementineline.commands import main
from clementineline.commands import operator

INTENT = {'trainers': {'t': {'model': 'm'}}}
SIDECAR = {
    'name': 's',
    'availability_zone': 'z',
    'listen': '127.0.0.1:1',
    'http': '127.0.0.1:2',
    'platform': {'url': 'http://127.0.0.1:3'},
    'service': {'url': 'http://127.0.0.1:4', 'service': 'desk'},
}


@pytest.fixture
def run_command(monkeypatch, capsys):
    def run(*arguments):
        """Run the command; return its exit code and output."""
        monkeypatch.setattr('sys.argv', ['clementineline', *arguments])
        code = 0
        try:
            main.run()
        except SystemExit as error:
            code = error.code or 0
        printed = capsys.readouterr()
        return code, printed.out, printed.err

    return run


class TestCheck:
    """The kind of a file is recognised, and errors name their place.

    Guards against a wrong file that passes, or whose error message does not
    name the file or the wrong field.
    """

    @pytest.mark.parametrize(
        ('fields', 'expected'),
        [(INTENT, 'valid intent'), (SIDECAR, 'valid sidecar settings')],
    )
    def test_valid_file_is_recognised(
        self, run_command, tmp_path, fields, expected
    ):
        path = tmp_path / 'file.json'
        path.write_text(json.dumps(fields))
        code, out, _ = run_command('check', str(path))
        assert code == 0
        assert expected in out

    @pytest.mark.parametrize(
        ('text', 'expected'),
        [
            ('{', 'file.json'),
            ('[]', 'expected an object'),
            ('{"trainers": {"t": {}}}', '`model`'),
            ('{"name": "e"}', 'availability_zone'),
        ],
    )
    def test_wrong_file_is_refused(
        self, run_command, tmp_path, text, expected
    ):
        path = tmp_path / 'file.json'
        path.write_text(text)
        code, _, err = run_command('check', str(path))
        assert code == 2
        assert expected in err

    def test_daemon_refuses_unknown_setting(self, run_command, tmp_path):
        path = tmp_path / 'file.json'
        path.write_text(json.dumps(dict(SIDECAR, extra=1)))
        code, _, err = run_command('sidecar', '--settings', str(path))
        assert code == 2
        assert '`extra`' in err


class TestOperatorCommands:
    """Exit codes distinguish failures, for scripts that call the commands."""

    def test_unreachable_entry_has_its_own_exit_code(self, run_command):
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            port = unused.getsockname()[1]
        code, _, err = run_command(
            'plan', 'confirm', 'x', '--entry', f'http://127.0.0.1:{port}'
        )
        assert code == operator.EXIT_UNREACHABLE
        assert str(port) in err

    def test_missing_intent_file_is_wrong_input(self, run_command, tmp_path):
        path = tmp_path / 'none.json'
        code, _, err = run_command('intent', 'submit', str(path))
        assert code == 2
        assert 'none.json' in err
