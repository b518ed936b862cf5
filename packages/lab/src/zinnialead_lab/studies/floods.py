"""Measure the service of each rank in a flood of one domain.

Two floods at three times the capacity, of the least urgent work and of
the most urgent, each compared with the same work without the flood; and
a brown-out in which the upstreams shed part of the requests.
"""

from collections import abc
import typing

import typer

from zinnialead_core import ids
from zinnialead_lab.studies import arrivals
from zinnialead_lab.studies import simulation

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


class RankResult(typing.NamedTuple):
    """Hold the load of one rank by result, and its 99th percentile wait.

    ``late`` was sent to an upstream but not answered.
    """

    rank: ids.RankId
    offered: float
    served: float
    refused: float
    late: float
    wait_p99_ms: float


def study(flooding: ids.RankId | None, seed: int) -> list[RankResult]:
    """Return the results of each rank during a flood of ``flooding``.

    Loads are shares of the capacity of the domain's slots.
    """
    requests = arrivals.merge(_streams(flooding), seed)
    results = simulation.run(requests).results
    return [_rank_result(results, rank.rank) for rank in simulation.RANKS]


def sends_per_request(seed: int) -> float:
    """Return the sends per accepted request in a brown-out."""
    requests = arrivals.merge(_streams(None), seed)
    finished = simulation.run(
        requests, condition=simulation.Shedding(SHED_SHARE)
    )
    accepted = sum(result.sent_ms is not None for result in finished.results)
    return finished.sends / accepted


def main(seed: int = 1) -> None:
    """Print the results of each rank without and with a flood."""
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
    typer.echo(f'sends for each accepted: {sends_per_request(seed):.3f}')


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


def _rank_result(
    results: abc.Sequence[simulation.ArrivalResult], rank: ids.RankId
) -> RankResult:
    from_ms = arrivals.START_MS + CALM_MS
    rank_results = [
        result
        for result in results
        if result.arrival.rank == rank and result.arrival.at_ms >= from_ms
    ]
    waits_ms = sorted(simulation.waits_ms(rank_results))
    return RankResult(
        rank=rank,
        offered=_share(rank_results),
        served=_share(
            result
            for result in results
            if result.arrival.rank == rank and _in_flood(result.answered_ms)
        ),
        refused=_share(
            result for result in rank_results if result.sent_ms is None
        ),
        late=_share(
            result
            for result in rank_results
            if result.sent_ms and result.answered_ms is None
        ),
        wait_p99_ms=waits_ms[int(len(waits_ms) * 0.99)] if waits_ms else 0.0,
    )


def _in_flood(at_ms: float | None) -> bool:
    from_ms = arrivals.START_MS + CALM_MS
    return at_ms is not None and from_ms <= at_ms < from_ms + FLOOD_MS


def _share(results: abc.Iterable[simulation.ArrivalResult]) -> float:
    """Return the share of the slots' time that some requests take."""
    busy_ms = sum(result.arrival.service_ms for result in results)
    return busy_ms / (arrivals.SLOTS * FLOOD_MS)


if __name__ == '__main__':
    typer.run(main)
