"""Checks the protocol models, and that each of their guards is needed.

Prints the number of reachable states of each model. Then removes each guard
in turn and prints the shortest counterexample of the resulting mutant. A
mutant that breaks no invariant fails the check, because the model then does
not show that its guard is needed.
"""

import sys
import time

import keyed_calls
import ledger
import minicheck
import orders
import samples
import takeovers

__all__ = ['main']

STATES_MAX = 3_000_000
# A mutant needs no exhaustive search: a counterexample found in a part of the
# states is valid.
MUTANT_STATES_MAX = 300_000
MODELS = (
    ledger.Ledger,
    orders.Orders,
    samples.Samples,
    takeovers.Takeovers,
    keyed_calls.KeyedCalls,
)
# Variants of the key's primary and backup home in roster 2. In roster 1 they
# are homes 0 and 1.
ROSTER_2_HOMES = ((2, 3), (1, 2), (2, 0))


def list_variants(mutation=''):
    """Yield ``(name, protocol)`` of each model, or of one mutant.

    The model of keyed calls is yielded once for each choice of homes.

    :param mutation: ``(model class, removed guard)``, or '' for all models
    """
    for model in MODELS:
        if model is keyed_calls.KeyedCalls:
            continue
        if mutation and mutation[0] is not model:
            continue
        guard = mutation[1] if mutation else ''
        yield model.NAME, model(guard).build_protocol()
    if mutation and mutation[0] is not keyed_calls.KeyedCalls:
        return
    for homes in ROSTER_2_HOMES:
        guard = mutation[1] if mutation else ''
        model = keyed_calls.KeyedCalls(guard, homes)
        yield f'{model.NAME}, next homes {homes}', model.build_protocol()


def check_models():
    """Check that all invariants of all models hold.

    :returns: number of failures
    """
    failures = 0
    for name, protocol in list_variants():
        started = time.monotonic()
        result = minicheck.check_safety(protocol, max_states=STATES_MAX)
        elapsed_s = time.monotonic() - started
        for invariant, checked in result['properties'].items():
            holds = checked['holds'] is True and result['exhaustive']
            print(
                f'{name}: {invariant}: {"holds" if holds else "FAILS"} in '
                f'{result["reachable_states"]} states, {elapsed_s:.1f} s'
            )
            if not holds:
                failures += 1
                print_trace(checked['counterexample'])
    return failures


def check_mutants():
    """Check that each mutant breaks an invariant.

    :returns: number of mutants that break none
    """
    survivors = 0
    for model in MODELS:
        for guard, description in model.GUARDS.items():
            found = find_counterexample(model, guard)
            if found is None:
                survivors += 1
                print(f'{model.NAME} without "{guard}": SURVIVES')
                continue
            name, invariant, trace = found
            print(
                f'{name} without "{guard}" ({description}): breaks '
                f'"{invariant}" in {len(trace) - 1} steps'
            )
            print_trace(trace)
    return survivors


def find_counterexample(model, guard):
    """Find the shortest counterexample of a mutant.

    Variants are searched in order; the first one that breaks an invariant
    gives the counterexample.

    :returns: ``(name, invariant, trace)``, or None
    """
    for name, protocol in list_variants((model, guard)):
        result = minicheck.check_safety(protocol, max_states=MUTANT_STATES_MAX)
        shortest = None
        for invariant, checked in result['properties'].items():
            if checked['holds'] is not False:
                continue
            trace = checked['counterexample']
            if shortest is None or len(trace) < len(shortest[2]):
                shortest = (name, invariant, trace)
        if shortest is not None:
            return shortest
    return None


def print_trace(trace):
    """Print the labels of a counterexample's steps."""
    for step in trace or ():
        if step['label'] is not None:
            print(f'    {step["label"]}')


def main():
    """Exit with 1 if an invariant fails or a mutant survives, else with 0."""
    failures = check_models()
    survivors = check_mutants()
    print(f'{failures} invariants fail, {survivors} mutants survive')
    sys.exit(1 if failures or survivors else 0)


if __name__ == '__main__':
    main()
