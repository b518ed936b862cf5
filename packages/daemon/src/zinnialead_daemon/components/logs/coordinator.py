"""Write a log line for each state change, up to a rate limit."""

import typing

import eliot

from zinnialead_core import buckets
from zinnialead_core import outputs as out
from zinnialead_daemon.components.logs import const
from zinnialead_daemon.components.logs import models
from zinnialead_daemon.components.operators import documents


def set_up(stream: typing.TextIO) -> None:
    """Write all log lines of this process to ``stream``."""
    eliot.to_file(stream)


def log_change(logs: models.Logs, output: out.LogChange) -> None:
    """Log a state change, or only count it above the rate limit."""
    if not _take_token(logs):
        logs.engine.world.counters['logs.dropped'] += 1
        return
    eliot.log_message(
        message_type=const.CHANGE,
        entry=logs.engine.world.node.ref.entry,
        component=output.component,
        subject=output.subject,
        before=output.before,
        after=output.after,
    )


def log_dump(dump: object) -> None:
    """Write a state dump as one line."""
    eliot.log_message(message_type=const.DUMP, dump=documents.plain(dump))


def _take_token(logs: models.Logs) -> bool:
    result = buckets.take(
        logs.bucket,
        logs.engine.now_ms(),
        const.LINES_PER_S_MAX,
        const.LINES_BURST_MAX,
    )
    logs.bucket = result.row
    return result.is_allowed
