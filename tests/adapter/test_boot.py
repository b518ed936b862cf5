"""Test reading the platform's settings file."""

import pytest

from zinnialead_platform import boot

TEXT = """
[self]
node_id = "edge-guj-sanand-1"
ip = "10.1.0.18"
zone = "guj-sanand"
region = "guj"
bootstrap = true
[self.limits]
memory_mb = 222
max_fds = 2870
[network]
internal_port_range = [7200,7215]
seeds = ["10.1.0.18:8382","10.2.0.34:8382"]
[network.listen]
front = "10.1.0.18:8381"
ready = "10.1.0.18:8388"
control = "10.1.0.18:8382"
directory = "10.1.0.18:8383"
[network.zones]
guj-sanand = "guj"
tn-hosur = "tn"
[platform]
discovery = "platform"
[platform.platform]
addr = "10.200.1.7:8384"
[terms.bounds]
retry_budget_ratio = 0.2
budget_extra_tries = 133
budget_window = "10s"
max_shift_fraction = 0.15
grace = "6s"
ttl_max = "1s"
"""


def test_settings_are_read():
    settings = boot.parse(TEXT, 5)
    assert settings.node.ref == ('edge-guj-sanand-1', 5)
    assert settings.node.regions == {'guj-sanand': 'guj', 'tn-hosur': 'tn'}
    assert settings.node.bounds.retry_extra == 133.0
    assert settings.node.bounds.directory_ttl_ms == 1_000.0
    assert settings.node.seeds == ('10.2.0.34:8382',)
    assert settings.peers_bind == '10.1.0.18:7200'
    assert settings.store_address == '10.200.1.7:8384'


@pytest.mark.parametrize('field', ['front', 'zone', 'ip', 'addr'])
def test_a_missing_field_is_named(field):
    text = '\n'.join(
        line for line in TEXT.splitlines() if not line.startswith(f'{field} ')
    )
    with pytest.raises(ValueError, match=field):
        boot.parse(text, 5)


@pytest.mark.parametrize(
    'bound', ['retry_budget_ratio', 'grace', 'ttl_max', 'budget_window']
)
def test_a_missing_bound_has_a_safe_default(bound):
    """The bounds that a deployment sets depend on its contracts."""
    text = '\n'.join(
        line for line in TEXT.splitlines() if not line.startswith(f'{bound} ')
    )
    bounds = boot.parse(text, 5).node.bounds
    all_set = boot.parse(TEXT, 5).node.bounds
    assert bounds.retry_share <= all_set.retry_share
    assert 0.0 < bounds.grace_ms <= all_set.grace_ms
    assert 0.0 < bounds.directory_ttl_ms <= 2_000.0
