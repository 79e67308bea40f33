"""Trainers of a soak, which read their results from any gateway."""

import asyncio
import base64
import collections
import itertools
import json

from clementineline import errors
from clementineline.platform.tests.soak import fleet as fleets
from clementineline.platform.tests.soak import load

__all__ = ['Trainer']

SUBMIT_INTERVAL_S = 1.0
ITEMS_PER_SUBMISSION = 8
READ_INTERVAL_S = 0.1
# Time until some trainers begin to read.
LATE_READ_S = 5.0
# Time after which a result that was read is listed by all gateways.
SETTLE_S = 1.0
# Time after the last fault within which accepted work must be complete.
COMPLETION_LIMIT_S = 30.0
EVENTS = 'e1\ne2\ne3'


class Trainer:
    """Submits batches and reads their results from any gateway.

    :param sender: the :class:`~load.Sender`
    :param recorder: the :class:`~checks.Recorder`
    :param fleet: the :class:`~fleet.Fleet`
    :param rng: random number generator
    """

    def __init__(self, sender, recorder, fleet, rng):
        self._sender = sender
        self._recorder = recorder
        self._fleet = fleet
        self._rng = rng
        # Results of the complete submissions, in order.
        self._listed = {}
        self.completed = 0
        self.accepted = 0

    async def run(self, stopping):
        """Submit until told to stop, then wait for all results."""
        tasks = []
        for number in itertools.count():
            tasks.append(asyncio.create_task(self._follow(number)))
            if await load.is_set_within(stopping, SUBMIT_INTERVAL_S):
                break
        _, pending = await asyncio.wait(tasks, timeout=COMPLETION_LIMIT_S)
        for task in pending:
            task.cancel()
        for task in tasks:
            if task in pending:
                continue
            task.result()
        await asyncio.gather(*pending, return_exceptions=True)

    async def _follow(self, number):
        submission_id = f's{number}'
        listed = []
        accepted = False
        try:
            await self._submit(submission_id, number)
            accepted = True
            self.accepted += 1
            await self._read_as_another(submission_id)
            if number % 2:
                # Without reads, the owner learns of late writes only from
                # its next one.
                await asyncio.sleep(LATE_READ_S)
            while len(listed) < ITEMS_PER_SUBMISSION:
                results = await self._list_results(submission_id, len(listed))
                listed.extend(results or ())
                await asyncio.sleep(READ_INTERVAL_S)
            await self._read_again(submission_id, listed)
            self._listed[submission_id] = listed
            self.completed += 1
        except asyncio.CancelledError:
            if accepted:
                self._recorder.report(
                    'nothing lost after 202',
                    f'{submission_id} has {len(listed)} results of '
                    f'{ITEMS_PER_SUBMISSION}',
                )
            raise
        self._check_items(submission_id, listed)

    async def read_all_again(self):
        """Read the results of all complete submissions once more.

        :raises TimeoutError: if they are not all readable in time
        """
        async with asyncio.timeout(COMPLETION_LIMIT_S):
            for submission_id, listed in self._listed.items():
                await self._read_again(submission_id, listed)

    async def _read_again(self, submission_id, listed):
        """Check that any gateway lists the same results from the start.

        The owner may not know at once of what others read from the ledger.
        """
        loop = asyncio.get_running_loop()
        settled_at = loop.time() + SETTLE_S
        while True:
            asked_at = loop.time()
            results = await self._list_results(submission_id, 0)
            if results == listed:
                return
            if results is not None and (
                asked_at > settled_at or results != listed[: len(results)]
            ):
                self._recorder.report(
                    'results in place',
                    f'{submission_id} had results {_list_ids(listed)}, '
                    f'then {_list_ids(results)}',
                )
                return
            await asyncio.sleep(READ_INTERVAL_S)

    async def _read_as_another(self, submission_id):
        """Check that another organisation does not get the results."""
        own = _choose_organisation(submission_id)
        (other,) = set(fleets.ORGANISATIONS) - {own}
        try:
            status, _, _ = await self._sender.send(
                b'GET',
                f'/api/lots/{submission_id}?after=0',
                key=fleets.name_key(other),
            )
        except (errors.ProtocolError, TimeoutError) as error:
            status = type(error).__name__
        self._recorder.statuses['read as another', status] += 1
        if status in (200, 401):
            self._recorder.report(
                'own submissions', f'{submission_id} gave {other} {status}'
            )

    async def _submit(self, submission_id, number):
        organisation = _choose_organisation(submission_id)
        known = self._recorder.organisations
        items = []
        for index in range(ITEMS_PER_SUBMISSION):
            known[f'{submission_id}-i{index}'] = organisation
            known[f'{submission_id}-r{index}'] = organisation
            item = {
                'id': f'{submission_id}-i{index}',
                'path': f'/batch/{index}',
                'headers': {'Model': 'm0', 'Length-Hint': '3'},
                'body': base64.b64encode(b'prompt').decode(),
                'tokens': 10,
                'group': f'g{index // 2}',
            }
            if number % 2:
                item['scorer'] = {
                    'id': f'{submission_id}-r{index}',
                    'host': load.HOST.decode(),
                    'path': '/live/score',
                    'body': base64.b64encode(b'reply').decode(),
                }
            items.append(item)
        body = {
            'step': number,
            'model': 'm0',
            'minVersion': 1,
            'desired': ITEMS_PER_SUBMISSION // 2,
            'items': items,
        }
        while True:
            try:
                status, _, _ = await self._sender.send(
                    b'POST',
                    f'/batch/{submission_id}',
                    json.dumps(body).encode(),
                    submission_id,
                    key=fleets.name_key(organisation),
                )
            except (errors.ProtocolError, TimeoutError) as error:
                status = type(error).__name__
            self._recorder.statuses['submit', status] += 1
            if status == 202:
                return
            await asyncio.sleep(0.2)

    async def _list_results(self, submission_id, after):
        """Read results from a position on.

        :returns: list of them; None if there was no response
        """
        try:
            status, _, answer = await self._sender.send(
                b'GET',
                f'/api/lots/{submission_id}?after={after}',
                key=fleets.name_key(_choose_organisation(submission_id)),
            )
        except (errors.ProtocolError, TimeoutError) as error:
            status = type(error).__name__
        self._recorder.statuses['read', status] += 1
        if status in (401, 404):
            self._recorder.report(
                'nothing lost after 202',
                f'{submission_id} got {status}',
            )
        if status != 200:
            return None
        return json.loads(answer)['results']

    def _check_items(self, submission_id, listed):
        recorder = self._recorder
        counts = collections.Counter(result['id'] for result in listed)
        for item_id, count in counts.items():
            if count > 1:
                recorder.report('results once', f'{item_id}: {count} times')
        engines = self._fleet.servers.values()
        for result in listed:
            if result['state'] != 'completed':
                recorder.statuses['item', result['state']] += 1
                continue
            if result['text'] != EVENTS:
                recorder.report(
                    'whole texts', f'{result["id"]}: {result["text"]!r}'
                )
            used = set()
            for engine in engines:
                used |= engine.versions_used.get(result['id'], set())
            if not set(result['versions']) <= used:
                recorder.report(
                    'honest versions',
                    f'{result["id"]} names {result["versions"]}, '
                    f'engines used {sorted(used)}',
                )


def _choose_organisation(submission_id):
    return fleets.ORGANISATIONS[int(submission_id[1:]) // 2 % 2]


def _list_ids(results):
    return [result['id'] for result in results]
