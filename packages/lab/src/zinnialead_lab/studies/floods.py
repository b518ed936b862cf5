"""Measure what each rank gets in a flood, before one domain's slots.

Two floods at three times the capacity, of the least urgent work and of
the most urgent, each against the same work without the flood; and a
brown-out in which upstreams shed part of what they are sent.
"""

from collections import abc
import typing

import typer

from zinnialead_core import ids
from zinnialead_lab.studies import arrivals
from zinnialead_lab.studies import pooled

CALM_MS = 20_000.0
FLOOD_MS = 60_000.0
FLOOD_LOAD = 3.0
SHED_SHARE = 0.5
DEADLINES_MS = {
    arrivals.URGENT: 1_000.0,
    arrivals.NORMAL: 4_000.0,
    arrivals.NIGHT: 30_000.0,
}
CALM_LOADS = {
    arrivals.URGENT: 0.2,
    arrivals.NORMAL: 0.3,
    arrivals.NIGHT: 0.2,
}


class Served(typing.NamedTuple):
    """Hold what one rank got: its load, what was served, its waits."""

    rank: ids.RankId
    offered: float
    served: float
    refused: float
    late: float
    wait_p99_ms: float


def study(flooding: ids.RankId | None, seed: int) -> list[Served]:
    """Return what each rank got while ``flooding`` came in a flood.

    Loads are shares of the capacity of the domain's slots.
    """
    found = arrivals.mix(_streams(flooding), seed)
    ends = pooled.run(found).ends
    return [_served(ends, rank.rank) for rank in pooled.RANKS]


def sends_for_each(seed: int) -> float:
    """Return the sends for each request sent at all, in a brown-out."""
    found = arrivals.mix(_streams(None), seed)
    made = pooled.run(found, condition=pooled.Shedding(SHED_SHARE))
    accepted = sum(end.sent_ms is not None for end in made.ends)
    return made.sends / accepted


def main(seed: int = 1) -> None:
    """Print what each rank got, calm and in both floods."""
    typer.echo('flood of  rank    offered  served  refused  late  p99 wait')
    for flooding in (None, arrivals.NIGHT, arrivals.URGENT):
        rows = study(flooding, seed)
        for row in rows:
            typer.echo(
                f'{flooding or "none":8}  {row.rank:6}  {row.offered:7.3f}'
                f'  {row.served:6.3f}  {row.refused:7.3f}  {row.late:4.3f}'
                f'  {row.wait_p99_ms:5.0f} ms'
            )
        typer.echo(f'served in all: {sum(row.served for row in rows):.3f}')
    typer.echo(f'sends for each accepted: {sends_for_each(seed):.3f}')


def _streams(
    flooding: ids.RankId | None,
) -> abc.Iterator[arrivals.Stream]:
    start_ms = arrivals.START_MS
    end_ms = start_ms + CALM_MS + FLOOD_MS
    for rank, load in CALM_LOADS.items():
        deadline_ms = DEADLINES_MS[rank]
        yield arrivals.Stream(rank, load, deadline_ms, start_ms, end_ms)
    if flooding is not None:
        load = FLOOD_LOAD - sum(CALM_LOADS.values())
        deadline_ms = DEADLINES_MS[flooding]
        from_ms = start_ms + CALM_MS
        yield arrivals.Stream(flooding, load, deadline_ms, from_ms, end_ms)


def _served(ends: abc.Sequence[pooled.End], rank: ids.RankId) -> Served:
    from_ms = arrivals.START_MS + CALM_MS
    own = [
        end
        for end in ends
        if end.arrival.rank == rank and end.arrival.at_ms >= from_ms
    ]
    waits_ms = sorted(pooled.waits_ms(own))
    return Served(
        rank=rank,
        offered=_share(own),
        served=_share(
            end
            for end in ends
            if end.arrival.rank == rank and _in_flood(end.answered_ms)
        ),
        refused=_share(end for end in own if end.sent_ms is None),
        late=_share(
            end for end in own if end.sent_ms and end.answered_ms is None
        ),
        wait_p99_ms=waits_ms[int(len(waits_ms) * 0.99)] if waits_ms else 0.0,
    )


def _in_flood(at_ms: float | None) -> bool:
    from_ms = arrivals.START_MS + CALM_MS
    return at_ms is not None and from_ms <= at_ms < from_ms + FLOOD_MS


def _share(ends: abc.Iterable[pooled.End]) -> float:
    """Return how much of the slots' time some requests take."""
    busy_ms = sum(end.arrival.service_ms for end in ends)
    return busy_ms / (arrivals.SLOTS * FLOOD_MS)


if __name__ == '__main__':
    typer.run(main)
