"""Where a request would go now, as running processes answer it."""

import asyncio
import json

import pytest

from clementineline.commands import operator
from clementineline.commands import where
from clementineline.coordination import completion
from clementineline.platform.tests import standin


def set_speeds(process, service, speeds):
    later = asyncio.get_running_loop().time() + 1000
    view = completion.ServiceView(speeds, True, later)
    process._learned._views[service] = view


async def ask(process, *arguments, **options):
    await asyncio.to_thread(
        where.where, process._settings.listen, *arguments, **options
    )


class TestWhere:
    async def test_call_goes_where_it_says_and_is_not_sent(
        self, served, capsys
    ):
        """Guards against a preview that reaches an endpoint."""
        gateway = served.gateways['gateway-1']
        await ask(gateway, 'shop.example', '/live/x')
        printed = capsys.readouterr().out
        assert 'route=r-live service=desk weight=1' in printed
        assert ': i-desk, decided by load' in printed
        assert served.servers['i-desk'].runs == []

    async def test_item_is_placed_by_the_decision_of_the_owner(
        self, served, capsys
    ):
        """Guards against an answer by another rule than the owner uses."""
        keeper = served.keepers[served.find_leader()]
        set_speeds(keeper, 'lm', {'i-lm0': 0.5, 'i-lm1': 1.0})
        request = ('shop.example', '/batch/x')
        await ask(keeper, *request, model='m0', length_hint=50.0)
        printed = capsys.readouterr().out
        assert ': i-lm1, decided by expected completion' in printed
        states = keeper._directory.endpoints.values()
        assert not any(state.item_runs for state in states)
        assert keeper._learned.held == 0

    async def test_request_without_a_route_is_refused(self, served):
        """Guards against a choice for a request that would get 404."""
        gateway = served.gateways['gateway-1']
        with pytest.raises(operator.CommandFailed, match='no route'):
            await ask(gateway, 'shop.example', '/nowhere/')

    async def test_key_decides_as_for_the_request_itself(
        self, served, capsys, tmp_path, wait_until
    ):
        """Guards against a choice for a request that would get 401."""
        gateway = served.gateways['gateway-1']
        manifest = standin.build_manifest(2)
        manifest['tenants'] = [{'name': 'north', 'apiKeys': ['k1']}]
        served.store.put('config', 'main', manifest)
        await wait_until(lambda: gateway._routes.table.version == 2)
        request = ('shop.example', '/live/x')
        with pytest.raises(operator.CommandFailed, match='with 401'):
            await ask(gateway, *request)
        path = tmp_path / 'key'
        path.write_text('k1\n')
        await ask(gateway, *request, key_file=str(path), as_json=True)
        printed = capsys.readouterr().out.splitlines()
        answer = json.loads([line for line in printed if line[0] == '{'][-1])
        assert answer['organisation'] == 'north'
        assert answer['choices'][0]['endpoint'] == 'i-desk'
