"""Lease, fencing and configuration versions.

Two leaders contend for the lease and send orders that arrive late. A paused
leader wakes up with orders in hand. The sidecar may restart and forget the
fencing number. Leaders change the configuration by conditional writes whose
answers may be lost; a process adopts versions that arrive in any order.
"""

from states import Model
from states import put

__all__ = ['Orders']

FENCE_MAX = 3
VERSION_MAX = 2


class Orders(Model):
    """The protocol of lease, orders and configuration."""

    NAME = 'orders'
    FIELDS = {
        'lease': 0,
        'holds': (0, 0),
        'flight': (0, 0),
        'sidecar': 0,
        'lease_known': False,
        'obeyed': 0,
        'reverted_order': False,
        'version': 0,
        'read': (-1, -1),
        'unanswered': (False, False),
        'accepted': 0,
        'adopted': 0,
        'reverted_version': False,
    }
    GUARDS = {
        'fence': 'a sidecar refuses orders with a lower fencing number',
        'read the lease': 'a fresh sidecar obeys none before it has read '
        'the lease',
        'conditional write': 'a write names the version that it changes',
        'read after a lost answer': 'a lost answer is resolved by reading',
        'no lower version': 'a process never adopts a lower version',
    }
    INVARIANTS = {
        'no stale order': lambda state: not state['reverted_order'],
        'no lost change': lambda state: state['accepted'] == state['version'],
        'no reverted configuration': lambda state: (
            not state['reverted_version']
        ),
    }

    def list_steps(self, state):
        """Yield each step from a state."""
        yield 'the sidecar restarts', {'sidecar': 0, 'lease_known': False}
        if not state['lease_known']:
            yield (
                'the sidecar reads the lease',
                {
                    'lease_known': True,
                    'sidecar': max(state['sidecar'], state['lease']),
                },
            )
        for leader in (0, 1):
            yield from self._list_lease_steps(state, leader)
            yield from self._list_write_steps(state, leader)
        for version in range(state['version'] + 1):
            yield from self._adopt(state, version)

    def _list_lease_steps(self, state, leader):
        if state['lease'] < FENCE_MAX:
            # The holder may be paused and still believe that it holds.
            fence = state['lease'] + 1
            yield (
                f'leader {leader} takes the lease',
                {
                    'lease': fence,
                    'holds': put(state['holds'], leader, fence),
                },
            )
        if state['holds'][leader] and not state['flight'][leader]:
            yield (
                f'leader {leader} sends an order',
                {
                    'flight': put(
                        state['flight'], leader, state['holds'][leader]
                    )
                },
            )
        if state['flight'][leader]:
            yield self._deliver(state, leader)

    def _deliver(self, state, leader):
        fence = state['flight'][leader]
        changes = {'flight': put(state['flight'], leader, 0)}
        label = f'the order of leader {leader} arrives'
        if not state['lease_known'] and self.has('read the lease'):
            return f'{label}: refused', changes
        if fence < state['sidecar'] and self.has('fence'):
            return f'{label}: refused', changes
        changes['sidecar'] = max(state['sidecar'], fence)
        changes['obeyed'] = max(state['obeyed'], fence)
        if fence < state['obeyed']:
            changes['reverted_order'] = True
        return f'{label}: obeyed', changes

    def _list_write_steps(self, state, leader):
        if state['unanswered'][leader]:
            yield from self._resolve(state, leader)
            return
        if state['read'][leader] < 0:
            yield (
                f'leader {leader} reads version {state["version"]}',
                {'read': put(state['read'], leader, state['version'])},
            )
            return
        if state['version'] >= VERSION_MAX:
            return
        for lost in (False, True):
            yield self._write(state, leader, lost)

    def _write(self, state, leader, lost):
        read = state['read'][leader]
        label = f'leader {leader} writes version {read + 1}'
        done = {'read': put(state['read'], leader, -1)}
        if read != state['version'] and self.has('conditional write'):
            return f'{label}: refused', done
        changes = {
            'version': read + 1,
            'accepted': state['accepted'] + 1,
        }
        if lost:
            changes['unanswered'] = put(state['unanswered'], leader, True)
            return f'{label}: done, the answer is lost', changes
        return f'{label}: done', dict(changes, **done)

    def _resolve(self, state, leader):
        done = {
            'unanswered': put(state['unanswered'], leader, False),
            'read': put(state['read'], leader, -1),
        }
        if self.has('read after a lost answer'):
            yield f'leader {leader} reads its write id', done
            return
        if state['version'] < VERSION_MAX:
            # The change itself is made once more, on whatever is there.
            yield (
                f'leader {leader} repeats its write',
                dict(
                    done,
                    version=state['version'] + 1,
                ),
            )

    def _adopt(self, state, version):
        if version == state['adopted']:
            return
        if version < state['adopted']:
            if self.has('no lower version'):
                return
            yield (
                f'the process adopts version {version}',
                {'adopted': version, 'reverted_version': True},
            )
            return
        yield f'the process adopts version {version}', {'adopted': version}
