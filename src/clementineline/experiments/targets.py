"""The letter's size, line by line, worked out from measured slopes."""

import dataclasses

__all__ = ['Target', 'work_out']

ENTRIES = 880
SIDECARS = 10_000
REGIONS = 9
REQUESTS_PER_S = 150_000
TOKENS_PER_S = 37_000_000
CHANGES_PER_DAY = 53_000
REPLACED_PER_DAY = 2_900
TRAINERS = 7
SAMPLES_PER_STEP = 4_096
STEP_LIMIT_S = 25 * 60
WEIGHTS_EVERY_S = 240
CORE_SHARE_PERCENT = 3.5
BYTES_PER_S = 14_000
IN_FORCE_S = 18.0
ACTIVE_WITHIN_S = 5.0
ENTRY_HOPS_MAX = 5
WATCHERS = 3
OTHERS_POLL_S = 60.0
WATCH_POLL_S = 10.0
LEASE_TRIES_S = 1.0
LEASE_OTHERS = 20
WRITES_PER_S = 300
READS_PER_S = 2_000
CHUNK_TOKENS = 8
LIVE_SHARE_OF_CORE = 100.0
RELAY_DELAY_S = 0.05
DAY_S = 86_400
STAGE_S = 60.0
STAGED_AT_ONCE = 64
MEMBER_BYTES = 160


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One line of the letter.

    :param state: ``holds`` with a margin, or ``short`` with the factor
    """

    name: str
    value: str
    bound: str
    state: str
    mechanism: str


def _judge(value, bound):
    if value <= bound:
        return f'holds, {bound / max(value, 1e-9):.1f} times below'
    return f'**short**, {value / bound:.1f} times above'


def _find(figures, name, per):
    for item in figures['slopes']:
        if item['name'].startswith(name) and item['per'] == per:
            return item
    raise KeyError(f'no slope {name!r} per {per!r}')


def _apply(item, size):
    return max(item['base'], 0.0) + item['slope'] * size


def work_out(figures):
    """Work out each line.

    :param figures: dict with ``slopes`` and ``subsets``
    :returns: list of :class:`Target`
    """
    return [
        *_work_out_control(figures),
        *_work_out_requests(figures),
        *_work_out_configuration(figures),
        *_work_out_weights(),
        *_work_out_steps(figures),
        *_work_out_platform(),
        *_work_out_members(figures),
    ]


def _work_out_control(figures):
    sessions = figures['subsets'][-1]['sessions_of_an_entry']
    cpu = _apply(_find(figures, 'entry control, %', 'session'), sessions)
    sent = _apply(_find(figures, 'entry control, bytes', 'session'), sessions)
    return [
        Target(
            f'control, % of a core at an entry ({sessions} sessions)',
            f'{cpu:.2f}',
            f'{CORE_SHARE_PERCENT}',
            _judge(cpu, CORE_SHARE_PERCENT),
            'subsets: coordination/membership.py; heartbeats: '
            'protocol/links.py',
        ),
        Target(
            f'control, bytes/s at an entry ({sessions} sessions)',
            f'{sent:,.0f}',
            f'{BYTES_PER_S:,}',
            _judge(sent, BYTES_PER_S),
            'reports only when changed: protocol/session.py',
        ),
    ]


def _work_out_requests(figures):
    routing = _find(figures, 'routing one request, us', 'candidate')
    chunk = _find(figures, 'encode and decode', 'token')
    per_entry = REQUESTS_PER_S / ENTRIES
    route = per_entry * _apply(routing, 40) / 1e6 * 100
    chunks = TOKENS_PER_S / ENTRIES / CHUNK_TOKENS
    relay = chunks * _apply(chunk, CHUNK_TOKENS) / 1e6 * 100
    return [
        Target(
            f'routing {per_entry:.0f} requests/s at an entry, % of a core',
            f'{route:.2f}',
            f'{LIVE_SHARE_OF_CORE:.0f}',
            _judge(route, LIVE_SHARE_OF_CORE),
            'coordination/routing.py',
        ),
        Target(
            f'codec of {chunks * CHUNK_TOKENS:,.0f} tokens/s at an entry in '
            f'chunks of {CHUNK_TOKENS}, % of a core (without HTTP)',
            f'{relay:.2f}',
            f'{LIVE_SHARE_OF_CORE:.0f}',
            _judge(relay, LIVE_SHARE_OF_CORE),
            'protocol/codec.py',
        ),
    ]


def _work_out_configuration(figures):
    spread = _find(figures, 'configuration to all', 'sidecar')
    moved = _find(figures, 'configuration change', 'sidecar')
    sessions = figures['subsets'][-1]['sessions_of_an_entry']
    hop_s = _apply(spread, sessions) / 1e3
    total_s = ENTRY_HOPS_MAX * hop_s
    rate = CHANGES_PER_DAY / DAY_S
    sent = rate * _apply(moved, sessions)
    return [
        Target(
            f'a change in force everywhere, s ({ENTRY_HOPS_MAX} hops)',
            f'{total_s:.2f}',
            f'{IN_FORCE_S}',
            _judge(total_s, IN_FORCE_S),
            'relay of differences: coordination/fleet.py',
        ),
        Target(
            f'{CHANGES_PER_DAY:,} changes a day, bytes/s at an entry',
            f'{sent:,.0f}',
            f'{BYTES_PER_S:,}',
            _judge(sent, BYTES_PER_S),
            'state/configuration.py',
        ),
    ]


def _work_out_weights():
    waves = SIDECARS / STAGED_AT_ONCE
    staging_s = waves * STAGE_S
    order_s = ENTRY_HOPS_MAX * RELAY_DELAY_S
    return [
        Target(
            f'staging {SIDECARS:,} servers from the store, '
            f'{STAGED_AT_ONCE} at once of {STAGE_S:.0f} s each, s',
            f'{staging_s:,.0f}',
            f'{WEIGHTS_EVERY_S}',
            _judge(staging_s, WEIGHTS_EVERY_S),
            'coordination/rollout.py; relay from sidecar to sidecar is not '
            'built',
        ),
        Target(
            f'activation order to all servers, s ({ENTRY_HOPS_MAX} hops, '
            'without the engines own swap)',
            f'{order_s:.2f}',
            f'{ACTIVE_WITHIN_S}',
            _judge(order_s, ACTIVE_WITHIN_S),
            'coordination/fleet.py',
        ),
    ]


def _work_out_steps(figures):
    sample = _find(figures, 'memory', 'sample of 1,000 characters')
    held = TRAINERS * SAMPLES_PER_STEP * sample['slope'] / 1e6
    per_step = SAMPLES_PER_STEP * sample['slope'] / 1e6
    delivered = TRAINERS * SAMPLES_PER_STEP / STEP_LIMIT_S
    return [
        Target(
            f'memory of one step of {SAMPLES_PER_STEP:,} samples at its '
            'owner, MB',
            f'{per_step:.1f}',
            '64',
            _judge(per_step, 64),
            f'coordination/samples.py; all {TRAINERS} trainers: '
            f'{held:.0f} MB over the entries',
        ),
        Target(
            'samples delivered, 1/s over all entries',
            f'{delivered:.1f}',
            f'{ENTRIES * 10:,}',
            _judge(delivered, ENTRIES * 10),
            'cursor: state/cursor.py',
        ),
    ]


def _work_out_platform():
    watches = 2 * WATCHERS / WATCH_POLL_S
    others = 2 * (ENTRIES - WATCHERS) / OTHERS_POLL_S
    lease = (WATCHERS + (ENTRIES - WATCHERS) / LEASE_OTHERS) / LEASE_TRIES_S
    reads = watches + others + lease
    changes = CHANGES_PER_DAY / DAY_S
    writes = 1 / LEASE_TRIES_S + changes + 2 * REPLACED_PER_DAY / DAY_S
    return [
        Target(
            f'platform reads, 1/s ({lease:,.0f} of them look at the lease)',
            f'{reads:,.0f}',
            f'{READS_PER_S:,}',
            _judge(reads, READS_PER_S),
            'watchers: coordination/watching.py; lease: coordination/lease.py',
        ),
        Target(
            'platform writes, 1/s',
            f'{writes:.1f}',
            f'{WRITES_PER_S}',
            _judge(writes, WRITES_PER_S),
            'coordination/lease.py, changes.py',
        ),
    ]


def _work_out_members(figures):
    table = (ENTRIES + SIDECARS) * MEMBER_BYTES * 3 / 1e6
    changes = 2 * REPLACED_PER_DAY / DAY_S
    subset = figures['subsets'][-1]
    entry_share = ENTRIES / (ENTRIES + SIDECARS)
    seconds = entry_share * subset['choice_s']
    seconds += (1 - entry_share) * subset['choice_again_s']
    percent = changes * seconds * 100
    return [
        Target(
            'memory of the member table at an entry, MB (reckoned)',
            f'{table:.1f}',
            '64',
            _judge(table, 64),
            'coordination/membership.py',
        ),
        Target(
            f'choosing subsets anew at {changes:.3f} member changes/s, % of '
            'a core',
            f'{percent:.1f}',
            f'{CORE_SHARE_PERCENT}',
            _judge(percent, CORE_SHARE_PERCENT),
            'coordination/membership.py',
        ),
    ]
