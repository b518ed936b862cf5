"""Test the choice of routes and services."""

import collections

from core.gateway import samples
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.routes import models


def test_the_longest_prefix_wins():
    longer = samples.route('lookup-deep', prefix='/lookup/deep/')
    config = samples.configuration(1, samples.route(), longer)
    matched = routes.match_route(config, 'desk.example', '/lookup/deep/3')
    assert matched.name == 'lookup-deep'
    assert routes.match_route(config, 'desk.example', '/lookup') is None
    assert routes.match_route(config, 'other.example', '/lookup/1') is None


def test_an_older_version_is_never_activated():
    world = samples.serving_world()
    for version, expected in ((5, 5), (3, 5), (9, 9)):
        config = samples.configuration(version)
        samples.feed(world, 1.0, inp.ConfigurationRead(config, 'test'))
        assert routes.active_configuration(world).version == expected


def test_services_are_chosen_in_proportion_to_their_weights():
    parts = (
        models.WeightedServiceRow('specdesk', 90.0),
        models.WeightedServiceRow('other', 10.0),
    )
    row = samples.route(parts=parts)
    world = samples.serving_world(row)
    chosen = collections.Counter(
        routes.choose_service(world, row) for _ in range(200)
    )
    assert abs(chosen['other'] - 20) <= 1


def test_a_service_without_weight_gets_no_requests():
    parts = (
        models.WeightedServiceRow('specdesk', 0.0),
        models.WeightedServiceRow('other', 1.0),
    )
    row = samples.route(parts=parts)
    world = samples.serving_world(row)
    chosen = {routes.choose_service(world, row) for _ in range(50)}
    assert chosen == {'other'}
