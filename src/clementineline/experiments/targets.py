"""Capacity targets of the full fleet, computed from measured slopes."""

import dataclasses

__all__ = ['Target', 'compute_targets']

ENTRIES = 880
SIDECARS = 10_000
REGIONS = 9
REQUESTS_PER_S = 150_000
TOKENS_PER_S = 37_000_000
CHANGES_PER_DAY = 53_000
REPLACED_MEMBERS_PER_DAY = 2_900
TRAINERS = 7
SAMPLES_PER_STEP = 4_096
STEP_LIMIT_S = 25 * 60
WEIGHTS_INTERVAL_S = 240
CONTROL_CORE_PERCENT = 3.5
CONTROL_BYTES_PER_S = 14_000
IN_FORCE_LIMIT_S = 18.0
ACTIVATION_LIMIT_S = 5.0
ENTRY_HOPS_MAX = 5
WATCHERS = 3
NON_WATCHER_POLL_S = 60.0
WATCH_POLL_S = 10.0
LEASE_CHECK_INTERVAL_S = 1.0
NON_WATCHER_LEASE_INTERVALS = 20
WRITES_PER_S = 300
READS_PER_S = 2_000
CHUNK_TOKENS = 8
LIVE_CORE_PERCENT = 100.0
HOP_DELAY_S = 0.05
DAY_S = 86_400
STAGING_S = 60.0
CONCURRENT_STAGINGS = 64
BYTES_PER_MEMBER = 160


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A capacity target and the value computed for it.

    :param name: quantity and its unit
    :param value: computed value
    :param bound: largest value that meets the target
    :param state: ``holds`` with the margin, or ``short`` with the factor by
        which the value exceeds the bound
    :param mechanism: modules that determine the value
    """

    name: str
    value: str
    bound: str
    state: str
    mechanism: str


def _format_state(value, bound):
    if value <= bound:
        return f'holds, {bound / max(value, 1e-9):.1f} times below'
    return f'**short**, {value / bound:.1f} times above'


def _find_slope(figures, name, per):
    for item in figures['slopes']:
        if item['name'].startswith(name) and item['per'] == per:
            return item
    raise KeyError(f'no slope {name!r} per {per!r}')


def _extrapolate(item, size):
    return max(item['base'], 0.0) + item['slope'] * size


def compute_targets(figures):
    """Compute all targets.

    :param figures: dict with ``slopes`` and ``subsets``
    :returns: list of :class:`Target`
    """
    return [
        *_compute_control_targets(figures),
        *_compute_request_targets(figures),
        *_compute_configuration_targets(figures),
        *_compute_weights_targets(),
        *_compute_step_targets(figures),
        *_compute_platform_targets(),
        *_compute_member_targets(figures),
    ]


def _compute_control_targets(figures):
    sessions = figures['subsets'][-1]['sessions_of_an_entry']
    core_percent = _extrapolate(
        _find_slope(figures, 'entry control, %', 'session'), sessions
    )
    bytes_per_s = _extrapolate(
        _find_slope(figures, 'entry control, bytes', 'session'), sessions
    )
    return [
        Target(
            f'control, % of a core at an entry ({sessions} sessions)',
            f'{core_percent:.2f}',
            f'{CONTROL_CORE_PERCENT}',
            _format_state(core_percent, CONTROL_CORE_PERCENT),
            'subsets: coordination/membership.py; heartbeats: '
            'protocol/links.py',
        ),
        Target(
            f'control, bytes/s at an entry ({sessions} sessions)',
            f'{bytes_per_s:,.0f}',
            f'{CONTROL_BYTES_PER_S:,}',
            _format_state(bytes_per_s, CONTROL_BYTES_PER_S),
            'reports only when changed: protocol/session.py',
        ),
    ]


def _compute_request_targets(figures):
    routing = _find_slope(figures, 'routing one request, us', 'candidate')
    chunk = _find_slope(figures, 'encode and decode', 'token')
    requests_per_s = REQUESTS_PER_S / ENTRIES
    routing_percent = requests_per_s * _extrapolate(routing, 40) / 1e6 * 100
    chunks = TOKENS_PER_S / ENTRIES / CHUNK_TOKENS
    relay_percent = chunks * _extrapolate(chunk, CHUNK_TOKENS) / 1e6 * 100
    return [
        Target(
            f'routing {requests_per_s:.0f} requests/s at an entry, '
            '% of a core',
            f'{routing_percent:.2f}',
            f'{LIVE_CORE_PERCENT:.0f}',
            _format_state(routing_percent, LIVE_CORE_PERCENT),
            'coordination/routing.py',
        ),
        Target(
            f'codec of {chunks * CHUNK_TOKENS:,.0f} tokens/s at an entry in '
            f'chunks of {CHUNK_TOKENS}, % of a core (without HTTP)',
            f'{relay_percent:.2f}',
            f'{LIVE_CORE_PERCENT:.0f}',
            _format_state(relay_percent, LIVE_CORE_PERCENT),
            'protocol/codec.py',
        ),
    ]


def _compute_configuration_targets(figures):
    propagation = _find_slope(figures, 'configuration to all', 'sidecar')
    change_bytes = _find_slope(figures, 'configuration change', 'sidecar')
    sessions = figures['subsets'][-1]['sessions_of_an_entry']
    hop_s = _extrapolate(propagation, sessions) / 1e3
    total_s = ENTRY_HOPS_MAX * hop_s
    rate = CHANGES_PER_DAY / DAY_S
    bytes_per_s = rate * _extrapolate(change_bytes, sessions)
    return [
        Target(
            f'a change in force everywhere, s ({ENTRY_HOPS_MAX} hops)',
            f'{total_s:.2f}',
            f'{IN_FORCE_LIMIT_S}',
            _format_state(total_s, IN_FORCE_LIMIT_S),
            'relay of differences: coordination/fleet.py',
        ),
        Target(
            f'{CHANGES_PER_DAY:,} changes a day, bytes/s at an entry',
            f'{bytes_per_s:,.0f}',
            f'{CONTROL_BYTES_PER_S:,}',
            _format_state(bytes_per_s, CONTROL_BYTES_PER_S),
            'state/configuration.py',
        ),
    ]


def _compute_weights_targets():
    batches = SIDECARS / CONCURRENT_STAGINGS
    staging_s = batches * STAGING_S
    activation_s = ENTRY_HOPS_MAX * HOP_DELAY_S
    return [
        Target(
            f'staging {SIDECARS:,} servers from the store, '
            f'{CONCURRENT_STAGINGS} at once of {STAGING_S:.0f} s each, s',
            f'{staging_s:,.0f}',
            f'{WEIGHTS_INTERVAL_S}',
            _format_state(staging_s, WEIGHTS_INTERVAL_S),
            'coordination/rollout.py; relay from sidecar to sidecar is not '
            'built',
        ),
        Target(
            f'activation order to all servers, s ({ENTRY_HOPS_MAX} hops, '
            'without the engines own swap)',
            f'{activation_s:.2f}',
            f'{ACTIVATION_LIMIT_S}',
            _format_state(activation_s, ACTIVATION_LIMIT_S),
            'coordination/fleet.py',
        ),
    ]


def _compute_step_targets(figures):
    sample = _find_slope(figures, 'memory', 'sample of 1,000 characters')
    total_mb = TRAINERS * SAMPLES_PER_STEP * sample['slope'] / 1e6
    step_mb = SAMPLES_PER_STEP * sample['slope'] / 1e6
    samples_per_s = TRAINERS * SAMPLES_PER_STEP / STEP_LIMIT_S
    return [
        Target(
            f'memory of one step of {SAMPLES_PER_STEP:,} samples at its '
            'owner, MB',
            f'{step_mb:.1f}',
            '64',
            _format_state(step_mb, 64),
            f'coordination/samples.py; all {TRAINERS} trainers: '
            f'{total_mb:.0f} MB over the entries',
        ),
        Target(
            'samples delivered, 1/s over all entries',
            f'{samples_per_s:.1f}',
            f'{ENTRIES * 10:,}',
            _format_state(samples_per_s, ENTRIES * 10),
            'cursor: state/cursor.py',
        ),
    ]


def _compute_platform_targets():
    watches = 2 * WATCHERS / WATCH_POLL_S
    non_watchers = 2 * (ENTRIES - WATCHERS) / NON_WATCHER_POLL_S
    lease = (
        WATCHERS + (ENTRIES - WATCHERS) / NON_WATCHER_LEASE_INTERVALS
    ) / LEASE_CHECK_INTERVAL_S
    reads = watches + non_watchers + lease
    changes = CHANGES_PER_DAY / DAY_S
    writes = (
        1 / LEASE_CHECK_INTERVAL_S
        + changes
        + 2 * REPLACED_MEMBERS_PER_DAY / DAY_S
    )
    return [
        Target(
            f'platform reads, 1/s ({lease:,.0f} of them look at the lease)',
            f'{reads:,.0f}',
            f'{READS_PER_S:,}',
            _format_state(reads, READS_PER_S),
            'watchers: coordination/watching.py; lease: coordination/lease.py',
        ),
        Target(
            'platform writes, 1/s',
            f'{writes:.1f}',
            f'{WRITES_PER_S}',
            _format_state(writes, WRITES_PER_S),
            'coordination/lease.py, changes.py',
        ),
    ]


def _compute_member_targets(figures):
    table_mb = (ENTRIES + SIDECARS) * BYTES_PER_MEMBER * 3 / 1e6
    changes = 2 * REPLACED_MEMBERS_PER_DAY / DAY_S
    subset = figures['subsets'][-1]
    entry_share = ENTRIES / (ENTRIES + SIDECARS)
    seconds = entry_share * subset['choice_s']
    seconds += (1 - entry_share) * subset['choice_again_s']
    percent = changes * seconds * 100
    return [
        Target(
            'memory of the member table at an entry, MB (reckoned)',
            f'{table_mb:.1f}',
            '64',
            _format_state(table_mb, 64),
            'coordination/membership.py',
        ),
        Target(
            f'choosing subsets anew at {changes:.3f} member changes/s, % of '
            'a core',
            f'{percent:.1f}',
            f'{CONTROL_CORE_PERCENT}',
            _format_state(percent, CONTROL_CORE_PERCENT),
            'coordination/membership.py',
        ),
    ]
