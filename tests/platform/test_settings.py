"""Tests of reading and checking the platform's settings file."""

import pytest

from briarrill.errors import SettingsError
from briarrill.platform.settings import load_platform_settings

SETTINGS = """
node_name = "edge-a-1"
ip = "10.1.0.35"
zone = "a"
internal_port_range = [7660, 7675]
seed_nodes = ["10.1.0.35:8146", "10.2.0.28:8146"]
a_field_of_tomorrow = true
[listen_addrs]
front_http = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
[contract_params]
grace_s = 9
[platform]
address = "10.200.1.7:8142"
"""


def _load(tmp_path, text):
    path = tmp_path / 'local.toml'
    path.write_text(text, encoding='utf-8')
    return load_platform_settings(str(path))


def test_settings_file_fields_are_converted(tmp_path):
    cfg = _load(tmp_path, SETTINGS)
    assert (cfg.name, cfg.host, cfg.failure_domain) == (
        'edge-a-1',
        '10.1.0.35',
        'a',
    )
    assert cfg.store == ('10.200.1.7', 8142)
    assert cfg.peer_port == 7660
    assert cfg.seeds == ('10.1.0.35', '10.2.0.28')
    assert cfg.callers == ('10.1.0.35', 8144)
    assert cfg.grace_s == 9


def test_missing_front_address_means_no_callers(tmp_path):
    text = SETTINGS.replace('front_http = "10.1.0.35:8144"', '')
    assert _load(tmp_path, text).callers is None


@pytest.mark.parametrize(
    ('old', 'new', 'place'),
    [
        ('node_name = "edge-a-1"', '', 'node_name'),
        ('[7660, 7675]', '"7660"', 'internal_port_range'),
        ('grace_s = 9', 'grace_s = "9"', 'grace_s'),
        ('"10.200.1.7:8142"', '"10.200.1.7"', '10.200.1.7'),
        ('[platform]', '[platform', 'local.toml'),
    ],
)
def test_invalid_settings_error_names_the_mistake(tmp_path, old, new, place):
    with pytest.raises(SettingsError) as caught:
        _load(tmp_path, SETTINGS.replace(old, new))
    assert place in caught.value.message


def test_missing_settings_file_raises_settings_error(tmp_path):
    with pytest.raises(SettingsError):
        load_platform_settings(str(tmp_path / 'none.toml'))
