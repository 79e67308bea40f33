"""Benchmark scenarios on real processes with stand-ins.

``python -m clementineline.experiments.bench --scenario slowed --seed 1``
runs one scenario; without ``--scenario`` all of them run. The benchmark
writes ``bench.json`` and the plot ``bench.png`` into the folder of ``--out``,
and prints one line for each figure at the end.
"""

import argparse
import asyncio
import json
import pathlib
import sys
import time

from clementineline.experiments import scenarios
from clementineline.experiments import training

__all__ = ['main']

SCENARIOS = {
    'steps': training.run_steps,
    'head_of_line': scenarios.run_head_of_line,
    'slowed': scenarios.run_slowed,
    'overload': scenarios.run_overload,
    'retries': scenarios.run_retries,
    'prefix_cache': scenarios.run_prefix_cache,
    'fairness': scenarios.run_fairness,
}


def format_figure(figure):
    """Return a figure as ``name value bound ok|short``."""
    bound = '-'
    if figure.bound is not None:
        sign = '>=' if figure.is_lower_bound else '<='
        bound = f'{sign}{figure.bound:g}'
    state = 'ok' if figure.is_met else 'short'
    return f'{figure.name} {figure.value:.4g} {bound} {state}'


def plot_figures(figures, path):
    """Plot each figure that has a bound, as a multiple of its bound."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    bounded = [item for item in figures if item.bound]
    names = [item.name for item in bounded]
    values = [item.value / item.bound for item in bounded]
    colours = ['tab:green' if item.is_met else 'tab:red' for item in bounded]
    height = 1 + 0.35 * len(bounded)
    chart, axes = pyplot.subplots(figsize=(9, height))
    axes.barh(names, values, color=colours)
    axes.axvline(1.0, color='black')
    axes.set_xlabel('measured, as a multiple of the bound')
    axes.invert_yaxis()
    chart.tight_layout()
    chart.savefig(path)


def main():
    """Run scenarios; exit with 1 if a figure doesn't meet its bound."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--scenario', choices=sorted(SCENARIOS))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--out', type=pathlib.Path, default='out')
    options = parser.parse_args()
    names = [options.scenario] if options.scenario else list(SCENARIOS)
    figures = []
    for name in names:
        started = time.monotonic()
        scenario_figures = asyncio.run(SCENARIOS[name](options.seed))
        figures.extend(scenario_figures)
        took = time.monotonic() - started
        print(f'{name}: {took:.0f} s, seed {options.seed}', flush=True)
        for figure in scenario_figures:
            print('  ' + format_figure(figure), flush=True)
    options.out.mkdir(parents=True, exist_ok=True)
    result = {item.name: item.value for item in figures}
    (options.out / 'bench.json').write_text(json.dumps(result, indent=1))
    plot_figures(figures, options.out / 'bench.png')
    for figure in figures:
        print(format_figure(figure))
    sys.exit(0 if all(item.is_met for item in figures) else 1)


if __name__ == '__main__':
    main()
