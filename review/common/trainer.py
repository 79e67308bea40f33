"""A trainer: submits batch submissions, reads their results, ends them."""

import asyncio
import base64
import json

from common import wire

__all__ = ['Lot', 'end', 'read', 'read_all', 'submit']

HOST = ('Host', 'shop.example')


class Lot:
    """A batch submission, and what its trainer has read of it.

    :ivar results: the results that were read, by position
    :ivar ended: whether its end was acknowledged
    """

    def __init__(self, lot_id, items, model='m0', version_min=1):
        self.id = lot_id
        self.item_ids = [f'{lot_id}{number:04x}' for number in range(items)]
        self.model = model
        self.version_min = version_min
        self.results = []
        self.ended = False

    def encode(self, prefix):
        """Return the body that submits it; groups have four items."""
        items = []
        for number, item_id in enumerate(self.item_ids):
            items.append(
                {
                    'id': item_id,
                    'path': f'{prefix}{number}',
                    'headers': {
                        'Model': self.model,
                        'Token-Usage': '16,300',
                        'Length-Hint': '300',
                    },
                    'body': base64.b64encode(item_id.encode()).decode(),
                    'tokens': 316,
                    'group': f'{self.id}g{number // 4}',
                }
            )
        return json.dumps(
            {
                'step': 0,
                'model': self.model,
                'minVersion': self.version_min,
                'desired': len(items) // 4,
                'items': items,
            }
        ).encode()


async def submit(fleet, names, lot, record, prefix='/batch/'):
    """Submit a batch submission until it is accepted, at one node after
    the other.
    """
    body = lot.encode(prefix)
    for attempt in range(20):
        name = names[attempt % len(names)]
        status, _, _ = await wire.call(
            fleet.get_front(name),
            'POST',
            f'{prefix}{lot.id}',
            [HOST, ('Request-Id', lot.id)],
            body,
        )
        record.add('submit', lot.id, 'at', name, status)
        if status == 202:
            return True
        await asyncio.sleep(0.1)
    return False


async def read(fleet, name, lot_id, after, record, timeout_s=3.0):
    """Read results from a position on.

    :returns: the page, or None if the status is not 200
    """
    status, _, body = await wire.call(
        fleet.get_front(name),
        'GET',
        f'/api/lots/{lot_id}?after={after}',
        [HOST],
        timeout_s=timeout_s,
    )
    if status != 200:
        record.add('read', lot_id, 'after', after, 'at', name, status)
        return None
    page = json.loads(body)
    record.add(
        'read', lot_id, 'after', after, 'at', name, 'got', len(page['results'])
    )
    return page


async def read_all(fleet, name, lot_id, record):
    """Read a batch submission from the start until a page is empty.

    :returns: the results, or None if a page could not be read
    """
    results = []
    while True:
        page = await read(fleet, name, lot_id, len(results), record)
        if page is None:
            return None
        if not page['results']:
            return results
        results.extend(page['results'])


async def end(fleet, names, lot, record):
    """End a batch submission, at one node after the other."""
    for attempt in range(10):
        name = names[attempt % len(names)]
        status, _, _ = await wire.call(
            fleet.get_front(name), 'DELETE', f'/api/lots/{lot.id}', [HOST]
        )
        record.add('end', lot.id, 'at', name, status)
        if status == 200:
            lot.ended = True
            return True
        await asyncio.sleep(0.1)
    return False
