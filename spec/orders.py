"""Model of the lease, fenced orders and configuration versions.

Two leaders compete for the lease and send orders that may arrive late. A
paused leader may resume with orders of an expired lease. The sidecar may
restart and forget the highest fencing token. Leaders change the
configuration by conditional writes whose responses may be lost; a process
receives configuration versions in any order.
"""

from states import Model
from states import replace_at

__all__ = ['Orders']

FENCE_MAX = 3
VERSION_MAX = 2


class Orders(Model):
    """Two leaders, the store, a sidecar and a process with a configuration.

    The sidecar executes the orders of the leaders; the process adopts the
    configuration versions that the leaders write to the store.
    """

    NAME = 'orders'
    FIELDS = {
        # Fencing token of the current lease.
        'lease_fence': 0,
        # Fencing token that each leader believes it holds; 0 for none.
        'leader_fences': (0, 0),
        # Fencing token of each leader's order in flight; 0 for none.
        'orders_in_flight': (0, 0),
        # Highest fencing token that the sidecar knows.
        'sidecar_fence': 0,
        # Whether the sidecar has read the lease since its start.
        'lease_read': False,
        # Highest fencing token of an executed order.
        'executed_fence': 0,
        'stale_order_executed': False,
        # Version of the configuration in the store.
        'version': 0,
        # Version that each leader read before its write; -1 for none.
        'read_versions': (-1, -1),
        # Whether the response to each leader's write was lost.
        'response_lost': (False, False),
        # Number of changes that the store accepted. A change that a leader
        # writes again after a lost response counts once.
        'accepted_changes': 0,
        # Configuration version that the process has in force.
        'adopted': 0,
        'version_reverted': False,
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
        'no stale order': lambda state: not state['stale_order_executed'],
        'no lost change': lambda state: (
            state['accepted_changes'] == state['version']
        ),
        'no reverted configuration': lambda state: (
            not state['version_reverted']
        ),
    }

    def list_steps(self, state):
        """Yield each step from a state."""
        yield (
            'the sidecar restarts',
            {'sidecar_fence': 0, 'lease_read': False},
        )
        if not state['lease_read']:
            yield (
                'the sidecar reads the lease',
                {
                    'lease_read': True,
                    'sidecar_fence': max(
                        state['sidecar_fence'], state['lease_fence']
                    ),
                },
            )
        for leader in (0, 1):
            yield from self._list_lease_steps(state, leader)
            yield from self._list_write_steps(state, leader)
        for version in range(state['version'] + 1):
            yield from self._list_adoptions(state, version)

    def _list_lease_steps(self, state, leader):
        if state['lease_fence'] < FENCE_MAX:
            # The previous holder keeps its fencing token: it may be paused
            # and still believe that it holds the lease.
            fence = state['lease_fence'] + 1
            yield (
                f'leader {leader} takes the lease',
                {
                    'lease_fence': fence,
                    'leader_fences': replace_at(
                        state['leader_fences'], leader, fence
                    ),
                },
            )
        if (
            state['leader_fences'][leader]
            and not state['orders_in_flight'][leader]
        ):
            yield (
                f'leader {leader} sends an order',
                {
                    'orders_in_flight': replace_at(
                        state['orders_in_flight'],
                        leader,
                        state['leader_fences'][leader],
                    )
                },
            )
        if state['orders_in_flight'][leader]:
            yield self._deliver_order(state, leader)

    def _deliver_order(self, state, leader):
        fence = state['orders_in_flight'][leader]
        changes = {
            'orders_in_flight': replace_at(
                state['orders_in_flight'], leader, 0
            )
        }
        label = f'the order of leader {leader} arrives'
        if not state['lease_read'] and self.has_guard('read the lease'):
            return f'{label}: refused', changes
        if fence < state['sidecar_fence'] and self.has_guard('fence'):
            return f'{label}: refused', changes
        changes['sidecar_fence'] = max(state['sidecar_fence'], fence)
        changes['executed_fence'] = max(state['executed_fence'], fence)
        if fence < state['executed_fence']:
            changes['stale_order_executed'] = True
        return f'{label}: obeyed', changes

    def _list_write_steps(self, state, leader):
        if state['response_lost'][leader]:
            yield from self._list_lost_response_steps(state, leader)
            return
        if state['read_versions'][leader] < 0:
            yield (
                f'leader {leader} reads version {state["version"]}',
                {
                    'read_versions': replace_at(
                        state['read_versions'], leader, state['version']
                    )
                },
            )
            return
        if state['version'] >= VERSION_MAX:
            return
        for lost in (False, True):
            yield self._write(state, leader, lost)

    def _write(self, state, leader, lost):
        """Return the step of a write.

        :param lost: whether its response is lost
        """
        read_version = state['read_versions'][leader]
        label = f'leader {leader} writes version {read_version + 1}'
        completion = {
            'read_versions': replace_at(state['read_versions'], leader, -1)
        }
        if read_version != state['version'] and self.has_guard(
            'conditional write'
        ):
            return f'{label}: refused', completion
        changes = {
            'version': read_version + 1,
            'accepted_changes': state['accepted_changes'] + 1,
        }
        if lost:
            changes['response_lost'] = replace_at(
                state['response_lost'], leader, True
            )
            return f'{label}: done, the answer is lost', changes
        return f'{label}: done', dict(changes, **completion)

    def _list_lost_response_steps(self, state, leader):
        completion = {
            'response_lost': replace_at(state['response_lost'], leader, False),
            'read_versions': replace_at(state['read_versions'], leader, -1),
        }
        if self.has_guard('read after a lost answer'):
            yield f'leader {leader} reads its write id', completion
            return
        if state['version'] < VERSION_MAX:
            # Without the guard, the leader applies the same change again, to
            # the version that is now in the store.
            yield (
                f'leader {leader} repeats its write',
                dict(
                    completion,
                    version=state['version'] + 1,
                ),
            )

    def _list_adoptions(self, state, version):
        """Yield the step in which the process receives a version, if any."""
        if version == state['adopted']:
            return
        if version < state['adopted']:
            if self.has_guard('no lower version'):
                return
            yield (
                f'the process adopts version {version}',
                {'adopted': version, 'version_reverted': True},
            )
            return
        yield f'the process adopts version {version}', {'adopted': version}
