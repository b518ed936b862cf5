"""Draw bars of policy and baseline, and fitted slopes."""

from collections import abc
import pathlib

import matplotlib
from matplotlib import figure
import numpy as np
from zinnialead_lab.bench import models as bench_models
from zinnialead_lab.plots import models

matplotlib.use('agg')

DRAWN = ('worth served', 'urgent p99', 'normal p99', 'urgent served')
WIDTH = 0.4


def bench(
    rows: abc.Sequence[bench_models.ComparisonRow], folder: pathlib.Path
) -> None:
    """Draw each main measure over the scenarios of each deployment."""
    for deployment in sorted({row.deployment for row in rows}):
        for measure in DRAWN:
            chosen = [
                row
                for row in rows
                if row.deployment == deployment and row.measure == measure
            ]
            if chosen:
                name = f'{deployment}-{measure}'.replace(' ', '-')
                _bars(chosen, folder / f'{name}.svg')


def slopes(series: abc.Iterable[models.Series], folder: pathlib.Path) -> None:
    """Draw the points and the fitted line of each series."""
    for row in series:
        drawing = figure.Figure(figsize=(6, 4), layout='constrained')
        axes = drawing.subplots()
        axes.plot(row.x, row.y, 'o', label='measured')
        axes.plot(row.x, row.fitted, '-', label='fitted')
        axes.set(title=row.name, xlabel=row.x_label, ylabel=row.y_label)
        axes.legend()
        name = row.name.replace(' ', '-')
        drawing.savefig(folder / f'{name}.svg')


def _bars(
    rows: abc.Sequence[bench_models.ComparisonRow], path: pathlib.Path
) -> None:
    drawing = figure.Figure(figsize=(9, 5), layout='constrained')
    axes = drawing.subplots()
    places = np.arange(len(rows))
    policy = [row.policy for row in rows]
    baseline = [row.baseline or 0.0 for row in rows]
    axes.bar(places - WIDTH / 2, policy, WIDTH, label='policy')
    axes.bar(places + WIDTH / 2, baseline, WIDTH, label='baseline')
    axes.set_xticks(places, [row.scenario for row in rows], rotation=90)
    axes.set_ylabel(f'{rows[0].measure} ({rows[0].unit})')
    axes.set_title(rows[0].deployment)
    axes.legend()
    drawing.savefig(path)
