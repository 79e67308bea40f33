"""Check the specification, and that each of its guards is needed.

Prints the states explored for each model. Then takes out each guard in turn
and prints the shortest counterexample; a mutant that breaks no invariant
fails the check, since its guard would prove nothing.
"""

import sys
import time

import keyed_calls
import ledger
import minicheck
import orders
import samples

__all__ = ['main']

STATES_MAX = 3_000_000
# Enough for a mutant: a counterexample is sound in a partial search too.
MUTANT_STATES_MAX = 300_000
MODELS = (
    ledger.Ledger,
    orders.Orders,
    samples.Samples,
    keyed_calls.KeyedCalls,
)
ROSTER_PAIRS = ((2, 3), (1, 2), (2, 0))


def list_variants(without=''):
    """Yield ``(name, protocol)`` of each model, with a guard taken out.

    :param without: a ``(model class, guard)`` pair, or ''
    """
    for model in (ledger.Ledger, orders.Orders, samples.Samples):
        if without and without[0] is not model:
            continue
        guard = without[1] if without else ''
        yield model.NAME, model(guard).build()
    if without and without[0] is not keyed_calls.KeyedCalls:
        return
    for pair in ROSTER_PAIRS:
        guard = without[1] if without else ''
        model = keyed_calls.KeyedCalls(guard, pair)
        yield f'{model.NAME}, next homes {pair}', model.build()


def check_models():
    """Check that all invariants hold.

    :returns: number of failures
    """
    failures = 0
    for name, protocol in list_variants():
        started = time.monotonic()
        result = minicheck.check_safety(protocol, max_states=STATES_MAX)
        took = time.monotonic() - started
        for invariant, found in result['properties'].items():
            holds = found['holds'] is True and result['exhaustive']
            print(
                f'{name}: {invariant}: {"holds" if holds else "FAILS"} in '
                f'{result["reachable_states"]} states, {took:.1f} s'
            )
            if not holds:
                failures += 1
                print_trace(found['counterexample'])
    return failures


def check_mutants():
    """Check that without each guard some invariant breaks.

    :returns: number of mutants that survive
    """
    survivors = 0
    for model in MODELS:
        for guard, meaning in model.GUARDS.items():
            found = find_counterexample(model, guard)
            if found is None:
                survivors += 1
                print(f'{model.NAME} without "{guard}": SURVIVES')
                continue
            name, invariant, trace = found
            print(
                f'{name} without "{guard}" ({meaning}): breaks "{invariant}" '
                f'in {len(trace) - 1} steps'
            )
            print_trace(trace)
    return survivors


def find_counterexample(model, guard):
    """Return the shortest counterexample of a mutant's first bad variant.

    :returns: ``(name, invariant, trace)``, or None
    """
    for name, protocol in list_variants((model, guard)):
        result = minicheck.check_safety(protocol, max_states=MUTANT_STATES_MAX)
        best = None
        for invariant, found in result['properties'].items():
            if found['holds'] is not False:
                continue
            trace = found['counterexample']
            if best is None or len(trace) < len(best[2]):
                best = (name, invariant, trace)
        if best is not None:
            return best
    return None


def print_trace(trace):
    """Print the labels of a counterexample's steps."""
    for step in trace or ():
        if step['label'] is not None:
            print(f'    {step["label"]}')


def main():
    """Check models and mutants; exit with 1 if either fails."""
    failures = check_models()
    survivors = check_mutants()
    print(f'{failures} invariants fail, {survivors} mutants survive')
    sys.exit(1 if failures or survivors else 0)


if __name__ == '__main__':
    main()
