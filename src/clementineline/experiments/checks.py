"""Checks of the service's guarantees against the facts of the stand-ins.

The stand-ins log each action that they perform. The checks compare these
facts with the responses that callers and trainers received, so they don't
depend on what the service reports about itself.
"""

import collections

from clementineline.standins import engine

__all__ = [
    'OutcomeRecorder',
    'check_configuration_facts',
    'check_engine_facts',
    'check_draining_facts',
    'check_order_facts',
]


class OutcomeRecorder:
    """Records outcomes of callers and trainers, and violated guarantees.

    :param staleness_bound: maximum number of versions that a sample may be
        older than the version of its trainer
    """

    def __init__(self, staleness_bound):
        self.staleness_bound = staleness_bound
        self.violations = []
        self.delivered_samples = 0
        self.sample_ages = collections.Counter()
        self.tokens_by_version = collections.Counter()
        self.live_outcomes = collections.Counter()
        self.order_outcomes = {}
        self.retry_verdicts = collections.Counter()
        self.not_run_ids = []
        self.request_ids = []
        self.live_durations_s = []
        self.samples = {}

    def record_violation(self, message):
        """Record a violated guarantee."""
        self.violations.append(message)

    def record_group(self, trainer, step, prompts, version, group):
        """Check and count a group of samples that a trainer received."""
        for sample in group.samples:
            key = (trainer, step, sample.index)
            if key in self.samples:
                self.record_violation(f'sample {key}: delivered twice')
            self.samples[key] = sample
            self.delivered_samples += 1
            self._check_age(key, sample, version)
            prompt = prompts[group.prompt_index]
            tokens = sum(count for _, count in sample.spans)
            if sample.text != engine.build_text(prompt, tokens):
                self.record_violation(f'sample {key}: text is not its own')
            expected = engine.compute_length(prompt, sample.index, 256)
            if tokens != expected:
                self.record_violation(
                    f'sample {key}: {tokens} tokens, whole is {expected}'
                )

    def _check_age(self, key, sample, version):
        oldest = min(span[0] for span in sample.spans)
        age = version - oldest
        self.sample_ages[age] += 1
        for span_version, tokens in sample.spans:
            self.tokens_by_version[span_version] += tokens
        if age > self.staleness_bound:
            self.record_violation(
                f'sample {key}: {age} versions old, bound '
                f'{self.staleness_bound}'
            )

    def record_live_request(self, outcome, duration_s=None):
        """Count a live request by its outcome."""
        self.live_outcomes[outcome] += 1
        if duration_s is not None:
            self.live_durations_s.append(duration_s)

    def check_response(self, request_id, text, expected):
        """Check the text of a complete response."""
        self.request_ids.append(request_id)
        if text != expected:
            self.record_violation(
                f'request {request_id}: not its own whole answer: '
                f'{text[:60]!r}... of {len(text)} characters, expected '
                f'{len(expected)}'
            )

    def record_order(self, key, order, outcome):
        """Record the final outcome of an order."""
        self.order_outcomes[order] = outcome

    def record_order_retry(self, key, verdict):
        """Count an order request that will be retried, by its verdict."""
        self.retry_verdicts[verdict] += 1

    def format_report(self):
        """Return the report as text."""
        outcomes = collections.Counter(self.order_outcomes.values())
        lines = [
            f'samples delivered: {self.delivered_samples}, each once',
            f'  by age in versions: {dict(sorted(self.sample_ages.items()))}',
            '  tokens by version: '
            f'{dict(sorted(self.tokens_by_version.items()))}',
            f'live requests: {dict(self.live_outcomes)}',
            f'orders: {dict(outcomes)}',
            f'  repeated after: {dict(self.retry_verdicts)}',
            f'broken promises: {len(self.violations)}',
        ]
        for message in self.violations[:20]:
            lines.append(f'  {message}')
        return '\n'.join(lines)


def check_engine_facts(deployment, recorder):
    """Check the spans of each sample against the tokens that engines produced.

    The tokens of a sample may come from several attempts. For each span,
    an engine must have produced the token positions with its version.
    """
    produced = collections.defaultdict(set)
    for name, spec in deployment.endpoint_specs.items():
        if spec.kind != 'engine':
            continue
        for fact in deployment.read_facts(f'{name}-endpoint'):
            if fact['fact'] != 'tokens':
                continue
            request_id = fact['id'].split('.')[0]
            for position in range(
                fact['first'], fact['first'] + fact['count']
            ):
                produced[request_id, position].add(fact['version'])
    for (trainer, step, index), sample in recorder.samples.items():
        request_id = f'{trainer}/{step}/{index}'
        position = 0
        for version, tokens in sample.spans:
            for _ in range(tokens):
                if version not in produced[request_id, position]:
                    recorder.record_violation(
                        f'sample {request_id}: token {position} says '
                        f'version {version}, engines ran '
                        f'{sorted(produced[request_id, position])}'
                    )
                    return
                position += 1


def check_order_facts(deployment, recorder):
    """Check that orders ran at most once, and exactly once if answered."""
    runs = collections.Counter()
    for name, spec in deployment.endpoint_specs.items():
        if spec.kind != 'service':
            continue
        for fact in deployment.read_facts(f'{name}-endpoint'):
            if fact['fact'] == 'run':
                runs[fact['body']] += 1
    for order, outcome in recorder.order_outcomes.items():
        count = runs[order]
        if count > 1:
            recorder.record_violation(f'{order}: ran {count} times')
        if outcome == 'answered' and count != 1:
            recorder.record_violation(
                f'{order}: answered, but ran {count} times'
            )
        if outcome == 'not run' and count:
            recorder.record_violation(f'{order}: refused as not run, but ran')


def check_configuration_facts(deployment, recorder):
    """Check that each write raised the configuration version by one."""
    last = 0
    for fact in deployment.read_facts('platform'):
        if fact['fact'] != 'write' or fact['kind'] != 'configuration':
            continue
        if fact['document'] != last + 1:
            recorder.record_violation(
                f'configuration {fact["document"]} was written after {last}'
            )
        last = fact['document']


def check_draining_facts(deployment, recorder, drain_periods, limit_s):
    """Check that draining endpoints start no new work after a time limit.

    :param drain_periods: dict from the name of a sidecar to the Unix times
        at which its planned stop began and ended
    :param limit_s: time after the start of the stop during which new work
        may still start, in seconds
    """
    for name, (started_at, ended_at) in drain_periods.items():
        for fact in deployment.read_facts(f'{name}-endpoint'):
            if fact['fact'] not in ('start', 'run'):
                continue
            if started_at + limit_s < fact['at'] < ended_at:
                recorder.record_violation(
                    f'{name}: new work {fact["at"] - started_at:.1f} s after '
                    'its planned stop began'
                )
