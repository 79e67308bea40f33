"""Independent checks of the promises from what the stand-ins logged."""

import collections

from clementineline.standins import engine

__all__ = [
    'Ledger',
    'check_document_facts',
    'check_engine_facts',
    'check_leaving_facts',
    'check_order_facts',
]


class Ledger:
    """What callers and trainers got, and which promises were broken.

    :param staleness_bound: most versions between a sample and its trainer
    """

    def __init__(self, staleness_bound):
        self.staleness_bound = staleness_bound
        self.broken = []
        self.delivered = 0
        self.ages = collections.Counter()
        self.versions = collections.Counter()
        self.live = collections.Counter()
        self.orders = {}
        self.order_attempts = collections.Counter()
        self.not_run_ids = []
        self.request_ids = []
        self.durations = []
        self.samples = {}

    def break_promise(self, message):
        """Note a broken promise."""
        self.broken.append(message)

    def note_group(self, trainer, step, prompts, version, group):
        """Check and count a group that a trainer got."""
        for sample in group.samples:
            key = (trainer, step, sample.index)
            if key in self.samples:
                self.break_promise(f'sample {key}: delivered twice')
            self.samples[key] = sample
            self.delivered += 1
            self._check_age(key, sample, version)
            prompt = prompts[group.prompt_index]
            tokens = sum(count for _, count in sample.spans)
            if sample.text != engine.build_text(prompt, tokens):
                self.break_promise(f'sample {key}: text is not its own')
            expected = engine.find_length(prompt, sample.index, 256)
            if tokens != expected:
                self.break_promise(
                    f'sample {key}: {tokens} tokens, whole is {expected}'
                )

    def _check_age(self, key, sample, version):
        oldest = min(span[0] for span in sample.spans)
        age = version - oldest
        self.ages[age] += 1
        for span_version, tokens in sample.spans:
            self.versions[span_version] += tokens
        if age > self.staleness_bound:
            self.break_promise(
                f'sample {key}: {age} versions old, bound '
                f'{self.staleness_bound}'
            )

    def note_live(self, outcome, duration_s=None):
        """Count a live request by its outcome."""
        self.live[outcome] += 1
        if duration_s is not None:
            self.durations.append(duration_s)

    def note_answer(self, request_id, text, expected):
        """Check a whole answer."""
        self.request_ids.append(request_id)
        if text != expected:
            self.break_promise(
                f'request {request_id}: not its own whole answer: '
                f'{text[:60]!r}... of {len(text)} characters, expected '
                f'{len(expected)}'
            )

    def note_order(self, key, order, outcome):
        """Count an order by its outcome."""
        self.orders[order] = outcome

    def note_order_attempt(self, key, verdict):
        """Count an attempt of an order that got no answer."""
        self.order_attempts[verdict] += 1

    def format_report(self):
        """Return the report as text."""
        outcomes = collections.Counter(self.orders.values())
        lines = [
            f'samples delivered: {self.delivered}, each once',
            f'  by age in versions: {dict(sorted(self.ages.items()))}',
            f'  tokens by version: {dict(sorted(self.versions.items()))}',
            f'live requests: {dict(self.live)}',
            f'orders: {dict(outcomes)}',
            f'  repeated after: {dict(self.order_attempts)}',
            f'broken promises: {len(self.broken)}',
        ]
        for message in self.broken[:20]:
            lines.append(f'  {message}')
        return '\n'.join(lines)


def check_engine_facts(deployment, ledger):
    """Check each sample's spans against what the engines really ran.

    A sample's tokens may have been produced by several attempts; for each
    span, some engine must have produced these positions with that version.
    """
    produced = collections.defaultdict(set)
    for name, plan in deployment.endpoint_specs.items():
        if plan.kind != 'engine':
            continue
        for fact in deployment.read_facts(f'{name}-endpoint'):
            if fact['fact'] != 'tokens':
                continue
            request_id = fact['id'].split('.')[0]
            for position in range(
                fact['first'], fact['first'] + fact['count']
            ):
                produced[request_id, position].add(fact['version'])
    for (trainer, step, index), sample in ledger.samples.items():
        request_id = f'{trainer}/{step}/{index}'
        position = 0
        for version, tokens in sample.spans:
            for _ in range(tokens):
                if version not in produced[request_id, position]:
                    ledger.break_promise(
                        f'sample {request_id}: token {position} says '
                        f'version {version}, engines ran '
                        f'{sorted(produced[request_id, position])}'
                    )
                    return
                position += 1


def check_order_facts(deployment, ledger):
    """Check that each order ran at most once, and once if answered."""
    runs = collections.Counter()
    for name, plan in deployment.endpoint_specs.items():
        if plan.kind != 'service':
            continue
        for fact in deployment.read_facts(f'{name}-endpoint'):
            if fact['fact'] == 'run':
                runs[fact['body']] += 1
    for order, outcome in ledger.orders.items():
        count = runs[order]
        if count > 1:
            ledger.break_promise(f'{order}: ran {count} times')
        if outcome == 'answered' and count != 1:
            ledger.break_promise(f'{order}: answered, but ran {count} times')
        if outcome == 'not run' and count:
            ledger.break_promise(f'{order}: refused as not run, but ran')


def check_document_facts(deployment, ledger):
    """Check that the configuration's versions only grew, one by one."""
    last = 0
    for fact in deployment.read_facts('platform'):
        if fact['fact'] != 'write' or fact['kind'] != 'configuration':
            continue
        if fact['document'] != last + 1:
            ledger.break_promise(
                f'configuration {fact["document"]} was written after {last}'
            )
        last = fact['document']


def check_leaving_facts(deployment, ledger, left_at, limit_s):
    """Check that an endpoint that leaves got no new work after a while.

    :param left_at: dict from sidecar to when its stop began and ended
    :param limit_s: how long new work may still arrive, in seconds
    """
    for name, (began, ended) in left_at.items():
        for fact in deployment.read_facts(f'{name}-endpoint'):
            if fact['fact'] not in ('start', 'run'):
                continue
            if began + limit_s < fact['at'] < ended:
                ledger.break_promise(
                    f'{name}: new work {fact["at"] - began:.1f} s after '
                    'its planned stop began'
                )
