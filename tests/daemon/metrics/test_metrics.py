"""Send metrics to a statsd server on loopback, and limit log lines."""

import socket

from core import samples
from zinnialead_config.settings import models as settings
from zinnialead_core import outputs as out
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components import front as fronts
from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components import logs
from zinnialead_daemon.components.logs import const as logs_const
from zinnialead_daemon.components import metrics


def test_counters_go_as_deltas_and_timers_as_quantiles():
    engine = engines.new_engine(samples.world(), lambda: 0.0)
    front = fronts.new_front(engine)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        port = server.getsockname()[1]
        sender = metrics.new_metrics(
            engine, front, settings.Statsd('127.0.0.1', port)
        )
        engine.world.counters['requests.arrived'] = 5
        front.timings.append(front_models.TimingRow('urgent', 12.0))
        metrics.flush(sender)
        first = server.recv(65_536).decode()
        engine.world.counters['requests.arrived'] = 7
        metrics.flush(sender)
        second = server.recv(65_536).decode()
    assert 'zinnialead.entry-1.requests.arrived:5|c' in first
    assert 'requests.elapsed.urgent.p99:12.0' in first
    assert second == 'zinnialead.entry-1.requests.arrived:2|c'


def test_log_lines_above_the_rate_limit_are_counted():
    engine = engines.new_engine(samples.world(), lambda: 0.0)
    limited_logs = logs.new_logs(engine)
    change = out.LogChange('members', 'entry-2', 'alive', 'dead')
    for _ in range(int(logs_const.LINES_BURST_MAX) + 3):
        logs.log_change(limited_logs, change)
    assert engine.world.counters['logs.dropped'] == 3
