"""Draw bar charts of policy and baseline, and fitted slopes."""

from collections import abc
import pathlib

import matplotlib
from matplotlib import figure
import numpy as np
from zinnialead_lab.bench import models as bench_models
from zinnialead_lab.plots import models

matplotlib.use('agg')

PLOTTED_MEASURES = (
    'worth served',
    'urgent p99',
    'normal p99',
    'urgent served',
)
BAR_WIDTH = 0.4


def bench(
    rows: abc.Sequence[bench_models.ComparisonRow], folder: pathlib.Path
) -> None:
    """Write a bar chart of each main measure for each deployment."""
    for deployment in sorted({row.deployment for row in rows}):
        for measure in PLOTTED_MEASURES:
            chosen = [
                row
                for row in rows
                if row.deployment == deployment and row.measure == measure
            ]
            if chosen:
                name = f'{deployment}-{measure}'.replace(' ', '-')
                _bars(chosen, folder / f'{name}.svg')


def slopes(series: abc.Iterable[models.Series], folder: pathlib.Path) -> None:
    """Write a chart of the points and the fitted line of each series."""
    for row in series:
        chart = figure.Figure(figsize=(6, 4), layout='constrained')
        axes = chart.subplots()
        axes.plot(row.x, row.y, 'o', label='measured')
        axes.plot(row.x, row.fitted, '-', label='fitted')
        axes.set(title=row.name, xlabel=row.x_label, ylabel=row.y_label)
        axes.legend()
        name = row.name.replace(' ', '-')
        chart.savefig(folder / f'{name}.svg')


def _bars(
    rows: abc.Sequence[bench_models.ComparisonRow], path: pathlib.Path
) -> None:
    chart = figure.Figure(figsize=(9, 5), layout='constrained')
    axes = chart.subplots()
    positions = np.arange(len(rows))
    policy = [row.policy for row in rows]
    baseline = [row.baseline or 0.0 for row in rows]
    axes.bar(positions - BAR_WIDTH / 2, policy, BAR_WIDTH, label='policy')
    axes.bar(positions + BAR_WIDTH / 2, baseline, BAR_WIDTH, label='baseline')
    axes.set_xticks(positions, [row.scenario for row in rows], rotation=90)
    axes.set_ylabel(f'{rows[0].measure} ({rows[0].unit})')
    axes.set_title(rows[0].deployment)
    axes.legend()
    chart.savefig(path)
