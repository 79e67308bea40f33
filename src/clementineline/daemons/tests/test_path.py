"""End-to-end tests, from the HTTP API to the stand-ins of the endpoints."""

import asyncio
import json

import openai
import pytest

from clementineline import client
from clementineline.standins import engine

TRAINER = {'trainers': {'t': {'model': 'm', 'staleness_bound_versions': 1}}}


class TestCallers:
    """Unmodified OpenAI clients and HTTP clients of services are served.

    Each refusal must say whether the request may have run.
    """

    @pytest.mark.parametrize('stream', [False, True])
    async def test_openai_client_generates_and_lists_models(
        self, fleet, stream
    ):
        prompt = 'smoked eel len=20'
        async with openai.AsyncOpenAI(
            base_url=fleet.get_url('entry-1-http') + '/v1', api_key='none'
        ) as api:
            answer = await api.completions.create(
                model='m', prompt=prompt, stream=stream
            )
            if stream:
                parts = [chunk.choices[0].text async for chunk in answer]
                text = ''.join(parts)
            else:
                text = answer.choices[0].text
            models = [item.id async for item in api.models.list()]
        assert text == engine.build_text(prompt, 20)
        assert models == ['m']

    async def test_openai_client_streams_chat(self, fleet):
        chat_messages = [{'role': 'user', 'content': 'hello len=12'}]
        async with openai.AsyncOpenAI(
            base_url=fleet.get_url('entry-1-http') + '/v1', api_key='none'
        ) as api:
            answer = await api.chat.completions.create(
                model='m', messages=chat_messages, stream=True
            )
            parts = [chunk.choices[0].delta.content async for chunk in answer]
        assert ''.join(parts).count(' ') == 12

    @pytest.mark.parametrize(
        ('body', 'status', 'expected'),
        [
            (b'{"model": "m", "prompt"', 400, 'body'),
            (b'{"model": "m"}', 400, r'$.prompt'),
            (b'{"model": 7, "prompt": "x"}', 400, r'$.model'),
            (b'{"model": "other", "prompt": "x"}', 404, "'other'"),
        ],
    )
    async def test_malformed_generation_is_refused_with_the_reason(
        self, fleet, body, status, expected
    ):
        url = fleet.get_url('entry-1-http') + '/v1/completions'
        async with fleet.http.post(url, data=body) as response:
            answer = await response.json()
            assert response.status == status
            assert response.headers['Clementineline-Verdict'] == 'not-run'
        assert expected in answer['error']['message']

    async def test_call_is_forwarded_unchanged(self, fleet):
        url = fleet.get_url('entry-1-http') + '/services/desk/a%20b?x=1&y=2'
        async with fleet.http.put(url, data='eel') as response:
            answer = await response.json()
            assert response.headers['Clementineline-Verdict'] == 'answered'
            assert response.headers['X-Service'] == 'desk'
        assert answer['method'] == 'PUT'
        assert answer['path'] == '/a b'
        assert answer['query'] == 'x=1&y=2'
        assert answer['body'] == 'eel'

    async def test_keyed_call_runs_once_through_two_entries(
        self, fleet, wait_until
    ):
        second = await fleet.start_entry('entry-2')
        await wait_until(lambda: second.configuration.get('roster'))
        await wait_until(
            lambda: (
                len([e for e in second.fleet.endpoints.values() if e.usable])
                == 3
            )
        )
        answers = []
        for entry in ('entry-1', 'entry-2'):
            answer, _ = await fleet.post(
                '/services/desk/orders',
                {'eels': 3},
                entry=entry,
                headers={'Idempotency-Key': 'k'},
            )
            answers.append(answer)
        runs = [f for f in fleet.service._log.facts if f['fact'] == 'run']
        assert answers[0] == answers[1]
        assert len(runs) == 1

    async def test_unreachable_service_is_not_run(self, fleet, wait_until):
        await fleet.servers[1].stop()
        _, headers = await fleet.post(
            '/services/desk/orders',
            {},
            503,
            headers={'Clementineline-Deadline-S': '0.5'},
        )
        assert headers['Clementineline-Verdict'] == 'not-run'
        assert int(headers['Retry-After']) >= 1

    async def test_too_large_body_is_refused(self, fleet):
        limit = fleet.daemons[0].settings.body_max_bytes
        url = fleet.get_url('entry-1-http') + '/services/desk/orders'
        async with fleet.http.post(url, data=b'x' * (limit + 1)) as response:
            answer = await response.json()
            assert response.status == 413
        assert str(limit) in answer['error']['message']


class TestOperators:
    """A plan is confirmed once, or refused as stale.

    Two operators may plan on the same configuration, and the answer to a
    confirmation may be lost.
    """

    async def test_second_of_two_conflicting_plans_is_stale(self, fleet):
        plans = []
        for weight in (2, 3):
            trainer = dict(TRAINER['trainers']['t'], weight=weight)
            plan, _ = await fleet.post(
                '/v1/operator/intents', {'trainers': {'t': trainer}}, 201
            )
            plans.append(plan['id'])
        await fleet.post(f'/v1/operator/plans/{plans[0]}/confirm', None)
        answer, _ = await fleet.post(
            f'/v1/operator/plans/{plans[1]}/confirm', None, 409
        )
        assert 'trainer/t is now' in answer['error']['message']
        again, _ = await fleet.post(
            f'/v1/operator/plans/{plans[0]}/confirm', None
        )
        assert again['state'] == 'confirmed'

    async def test_withdrawn_plan_cannot_be_confirmed(self, fleet):
        plan, _ = await fleet.post('/v1/operator/intents', TRAINER, 201)
        path = f'/v1/operator/plans/{plan["id"]}'
        await fleet.post(f'{path}/withdraw', None)
        answer, _ = await fleet.post(f'{path}/confirm', None, 409)
        assert 'withdrawn' in answer['error']['message']

    async def test_confirmation_survives_a_lost_write_answer(self, fleet):
        plan, _ = await fleet.post('/v1/operator/intents', TRAINER, 201)
        fleet.platform.faults.set({'lose_writes': 1})
        confirmed, _ = await fleet.post(
            f'/v1/operator/plans/{plan["id"]}/confirm', None
        )
        assert confirmed['state'] == 'confirmed'
        current = fleet.daemons[0].configuration
        assert current.get_stamp('trainer/t') == confirmed['in_force_version']

    @pytest.mark.parametrize(
        ('intent', 'expected'),
        [
            ({}, 'states nothing'),
            ({'trainer': {}}, '`trainer`'),
            ({'trainers': {'t': {}}}, '`model`'),
            ({'trainers': {'t': {'model': 'm', 'weight': 0}}}, 'above 0'),
        ],
    )
    async def test_malformed_intent_is_refused(self, fleet, intent, expected):
        answer, _ = await fleet.post('/v1/operator/intents', intent, 400)
        assert expected in answer['error']['message']

    async def test_plan_is_refused_as_not_run_while_the_platform_is_down(
        self, fleet
    ):
        fleet.platform.faults.set({'down': True})
        _, headers = await fleet.post('/v1/operator/intents', TRAINER, 503)
        assert headers['Clementineline-Verdict'] == 'not-run'


class TestTrainers:
    """Trainers get their samples, also while the platform is unavailable."""

    async def test_steps_complete_while_weights_change(self, fleet):
        await fleet.confirm_intent(TRAINER)
        urls = [fleet.get_url('entry-1-http')]
        found = []
        async with client.TrainerClient('t', urls) as trainer:
            for number in range(3):
                await trainer.submit(
                    f's{number}',
                    ['a len=8', 'b len=8'],
                    2,
                    scoring={'service': 'desk'},
                )
                async for group in trainer.groups():
                    for sample in group.samples:
                        oldest = min(span[0] for span in sample.spans)
                        assert trainer.version - oldest <= 1
                        assert sample.score is not None
                        found.append((number, sample.index))
                await trainer.announce(trainer.version + 1)
        assert len(found) == len(set(found)) == 12

    async def test_step_and_calls_are_served_without_the_platform(self, fleet):
        await fleet.confirm_intent(TRAINER)
        fleet.platform.faults.set({'down': True})
        await fleet.post(
            '/services/desk/orders', {}, headers={'Idempotency-Key': 'out'}
        )
        urls = [fleet.get_url('entry-1-http')]
        async with client.TrainerClient('t', urls) as trainer:
            await trainer.submit('s', ['a len=8'], 2)
            groups = [group async for group in trainer.groups()]
        assert len(groups) == 1

    async def test_late_entry_adopts_the_configuration_of_a_peer(
        self, fleet, wait_until
    ):
        await fleet.confirm_intent(TRAINER)
        fleet.platform.faults.set({'down': True})
        late = await fleet.start_entry('entry-2')
        await wait_until(lambda: late.configuration.get('trainer/t'))
        version = fleet.daemons[0].configuration.version
        assert late.configuration.version == version


class TestDrain:
    """Planned stops of sidecars and entries.

    A process that stops must finish the requests that run and refuse new
    ones. Stopped too early, it would cut off answers of callers.
    """

    async def test_leaving_endpoint_finishes_its_generation(
        self, fleet, wait_until
    ):
        sidecar = fleet.daemons[1]
        call = asyncio.create_task(
            fleet.post(
                '/v1/completions', {'model': 'm', 'prompt': 'x len=120'}
            )
        )
        await wait_until(lambda: len(sidecar.attempt_runner))
        sidecar._set_leaving(True, 'test')
        answer, _ = await call
        text = answer['choices'][0]['text']
        assert text == engine.build_text('x len=120', 120)
        _, headers = await fleet.post(
            '/v1/completions',
            {'model': 'm', 'prompt': 'y'},
            503,
            headers={'Clementineline-Deadline-S': '0.2'},
        )
        assert headers['Clementineline-Verdict'] == 'not-run'

    async def test_stopping_entry_finishes_its_requests(
        self, fleet, wait_until
    ):
        second = await fleet.start_entry('entry-2')
        sidecar = fleet.daemons[1]
        await wait_until(
            lambda: (
                any(e.usable for e in second.fleet.endpoints.values())
                and second.router.get_pool('engine', 'm').endpoints
            )
        )
        call = asyncio.create_task(
            fleet.post(
                '/v1/completions',
                {'model': 'm', 'prompt': 'x len=400'},
                entry='entry-2',
            )
        )
        await wait_until(lambda: len(sidecar.attempt_runner))
        fleet.daemons.remove(second)
        await second.stop()
        answer, _ = await call
        text = answer['choices'][0]['text']
        assert text == engine.build_text('x len=400', 400)

    async def test_explain_shows_the_decisions(self, fleet):
        _, headers = await fleet.post(
            '/v1/completions', {'model': 'm', 'prompt': 'x len=4'}
        )
        request_id = headers['Clementineline-Request-Id']
        url = fleet.get_url('entry-1-http')
        async with fleet.http.get(
            f'{url}/v1/operator/explain/{request_id}'
        ) as response:
            answer = json.loads(await response.read())
        assert answer['decisions'][0]['decision'] == 'route'
        assert answer['decisions'][0]['choice'] == 'engine-1'
