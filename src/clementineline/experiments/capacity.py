"""Measure cost per unit of size and write the tables of docs/CAPACITY.md.

``make capacity`` measures on one machine, saves the figures to
``docs/capacity.json`` and rewrites the tables between the marker comments of
the page. ``--tables`` rewrites the tables from the saved figures without
measuring.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys

from clementineline.experiments import slopes
from clementineline.experiments import targets

__all__ = ['main']

PAGE_PATH = pathlib.Path('docs/CAPACITY.md')
FIGURES_PATH = pathlib.Path('docs/capacity.json')
SESSION_COUNTS = (10, 40, 100, 200)
CANDIDATE_COUNTS = (5, 10, 20, 40)
WAITING_COUNTS = (10, 1_000, 100_000)
CHUNK_TOKENS = (1, 8, 32)
MEMORY_SIZES = (5_000, 20_000, 50_000)
SUBSET_SIZES = ((55, 625), (220, 2_500), (880, 10_000))


async def measure():
    """Run all measurements.

    :returns: dict with ``slopes`` and ``subsets``
    """
    fitted = []
    # Measures memory first: the other measurements leave freed pages, whose
    # reuse would hide growth of the resident memory.
    fitted += await slopes.measure_memory(MEMORY_SIZES)
    fitted += await slopes.measure_routing(CANDIDATE_COUNTS, WAITING_COUNTS)
    fitted += slopes.measure_relay(CHUNK_TOKENS)
    fitted += await slopes.measure_configuration_propagation(SESSION_COUNTS)
    fitted += await slopes.measure_sessions(SESSION_COUNTS)
    subsets = [slopes.measure_subset(*sizes) for sizes in SUBSET_SIZES]
    return {
        'slopes': [dataclasses.asdict(item) for item in fitted],
        'subsets': subsets,
    }


def format_slopes(figures):
    """Return the table of measured slopes as Markdown."""
    lines = [
        '| what | per | base | slope | fit (R2) | measured from .. to |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    for item in figures['slopes']:
        sizes = [point[0] for point in item['points']]
        lines.append(
            f'| {item["name"]} | {item["per"]} | {item["base"]:.4g} | '
            f'{item["slope"]:.4g} | {item["fit"]:.3f} | '
            f'{min(sizes):,} .. {max(sizes):,} |'
        )
    return lines


def format_subsets(figures):
    """Return the table of session subsets as Markdown."""
    lines = [
        '| entries | sidecars | sessions of an entry | models reached | '
        'processor time of a whole choice, s | after one sidecar changed, s |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    for item in figures['subsets']:
        lines.append(
            f'| {item["entries"]:,} | {item["sidecars"]:,} | '
            f'{item["sessions_of_an_entry"]} | {item["models_reached"]} of 7 '
            f'| {item["choice_s"]} | {item["choice_again_s"]} |'
        )
    return lines


def format_targets(figures):
    """Return the table of capacity targets as Markdown."""
    lines = [
        '| target | worked out | target | state | mechanism |',
        '| --- | --- | --- | --- | --- |',
    ]
    for item in targets.compute_targets(figures):
        lines.append(
            f'| {item.name} | {item.value} | {item.bound} | {item.state} | '
            f'{item.mechanism} |'
        )
    return lines


def rewrite_page(figures):
    """Rewrite the tables between the marker comments of the page.

    :raises SystemExit: if a marker is missing
    """
    tables = {
        'slopes': format_slopes(figures),
        'subsets': format_subsets(figures),
        'targets': format_targets(figures),
    }
    text = PAGE_PATH.read_text()
    for name, lines in tables.items():
        start, end = f'<!-- {name} -->', f'<!-- end of {name} -->'
        before, _, rest = text.partition(start)
        _, end_mark, after = rest.partition(end)
        if not end_mark:
            raise SystemExit(f'{PAGE_PATH}: the markers of {name} are missing')
        table = '\n'.join(lines)
        text = f'{before}{start}\n{table}\n{end}{after}'
    PAGE_PATH.write_text(text)


def main():
    """Measure, save the figures, and rewrite and print the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--tables', action='store_true')
    options = parser.parse_args()
    if not options.tables:
        figures = asyncio.run(measure())
        FIGURES_PATH.write_text(json.dumps(figures, indent=1) + '\n')
    rewrite_page(json.loads(FIGURES_PATH.read_text()))
    print(PAGE_PATH.read_text())
    sys.exit(0)


if __name__ == '__main__':
    main()
