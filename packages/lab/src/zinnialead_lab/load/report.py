"""Sum up what callers got, by kind and region."""

from collections import abc

from zinnialead_lab.load import models

SUCCESS = 200
REFUSED = 503
# A refusal after a longer wait, as a share of the target, harms the caller.
HELD_SHARE_MAX = 0.125
HEADER = 'kind          owed in time  late refused failed after wait on return'


def summarize(world: models.World) -> list[models.Summary]:
    """Return one row for each kind, in the scenario's order."""
    return [
        _summary(
            kind.name, [x for x in world.results if x.caller.kind == kind]
        )
        for kind in world.scenario.kinds
    ]


def total(world: models.World) -> models.Summary:
    """Return one row for the callers of all kinds."""
    return _summary('all', world.results)


def lines(world: models.World) -> abc.Iterator[str]:
    """Yield the report as lines of text: each kind, then each region."""
    yield f'{world.scenario.name}, seed {world.scenario.seed}'
    yield HEADER
    for row in (*summarize(world), total(world)):
        yield _line(row)
    for region in world.regions:
        results = [x for x in world.results if x.caller.region == region]
        yield _line(_summary(region, results))


def _summary(
    name: str, results: abc.Sequence[models.ResultRow]
) -> models.Summary:
    served = [x for x in results if x.status == SUCCESS]
    in_time = [x for x in served if _is_in_time(x)]
    refused = [x for x in results if x.status == REFUSED]
    return models.Summary(
        kind=name,
        owed=len(results),
        in_time=len(in_time),
        late=len(served) - len(in_time),
        refused=len(refused),
        failed=len(results) - len(served) - len(refused),
        refused_after_wait=sum(map(_was_held, refused)),
        served_on_return=sum(x.caller.tries > 1 for x in served),
    )


def _is_in_time(row: models.ResultRow) -> bool:
    return row.ended_ms - row.caller.sent_ms <= row.caller.kind.target_ms


def _was_held(row: models.ResultRow) -> bool:
    return row.held_ms > HELD_SHARE_MAX * row.caller.kind.target_ms


def _line(row: models.Summary) -> str:
    return (
        f'{row.kind:12}{row.owed:6}{row.in_time:8}{row.late:6}{row.refused:8}'
        f'{row.failed:7}{row.refused_after_wait:11}{row.served_on_return:10}'
    )
