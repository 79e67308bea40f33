import pathlib
import re

import clementineline

ROOT = pathlib.Path(clementineline.__file__).parent
# Names that only the platform's wire format uses. Words that other code may
# use as well are left out.
WIRE_NAMES = (
    'Api-Key',
    'Duty-Holder',
    'Expect-Instance',
    'Fencing-Token',
    'Kv-Backup',
    'Kv-From',
    'Length-Hint',
    'Not-Executed',
    'Pin-Ms',
    'Prompt-Prefix',
    'Request-Priority',
    'Server-Load',
    'Server-Stamp',
    'Timeout-Ms',
    'Token-Usage',
    'Wait-Ms',
    'Weight-Versions',
    'api/items',
    'api/lots',
    'api/objects',
    'api/order',
    'api/ready',
    'api/report',
    'apiKeys',
    'coldLeftMs',
    'currentRev',
    'dutiesPerS',
    'failClosed',
    'fencingToken',
    'idleTimeoutMs',
    'kvCapacity',
    'maxAttempts',
    'maxQueueS',
    'minVersion',
    'morePages',
    'nodeName',
    'numRunning',
    'pathPrefix',
    'reportWindowS',
    'resultDueMs',
    'revokeMs',
    'singleVersion',
    'targetLatencyMs',
    'timeoutMs',
    'trafficSplit',
    'usageLateS',
    'waitMs',
)
PATTERN = re.compile('|'.join(map(re.escape, WIRE_NAMES)), re.IGNORECASE)


class TestBoundary:
    def test_wire_names_appear_only_in_the_platform_package(self):
        found = []
        for path in ROOT.rglob('*.py'):
            if 'platform' in path.relative_to(ROOT).parts[:1]:
                continue
            for number, line in enumerate(path.read_text().split('\n'), 1):
                if PATTERN.search(line):
                    found.append(f'{path.relative_to(ROOT)}:{number}: {line}')
        assert found == []
