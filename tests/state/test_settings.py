"""Tests of settings files: examples, documented keys and errors."""

import pathlib
import re
import types
import typing

import attrs
import pytest

from briarrill.ctl.commands import validate
from briarrill.errors import BriarrillError, SettingsError
from briarrill.state.settings import (
    SETTINGS_BY_BINARY,
    EntrySettings,
    SidecarSettings,
    binary_for_settings,
    load_settings,
)

ROOT = pathlib.Path(__file__).parent.parent.parent
EXAMPLES = ROOT / 'examples' / 'settings'
BINARIES = sorted(SETTINGS_BY_BINARY)
ENTRY_EXAMPLE = (EXAMPLES / 'entry.toml').read_text()


def _settings_rows(cls, prefix=''):
    """Yield key, type and default of a settings class and its tables."""
    for field in attrs.fields(attrs.resolve_types(cls)):
        args = [
            arg
            for arg in typing.get_args(field.type)
            if arg is not types.NoneType
        ]
        kind = args[0] if args else field.type
        if attrs.has(kind):
            yield from _settings_rows(kind, f'{field.name}.')
            continue
        name = 'text' if issubclass(kind, str) else kind.__name__
        default = f'`{field.default!r}`'
        if kind is bool:
            default = default.lower()
        if field.default is attrs.NOTHING:
            default = 'required'
        yield f'{prefix}{field.name}', name, default


def _documented_rows(binary):
    page = (ROOT / 'docs' / 'settings.md').read_text()
    section = page.split(f'## briarrill-{binary}\n')[1].split('\n## ')[0]
    for line in re.findall(r'^\| `.*$', section, re.MULTILINE):
        cells = [cell.strip() for cell in line.split('|')[1:-1]]
        assert cells[4]
        yield cells[0].strip('`'), cells[1], cells[3]


@pytest.mark.parametrize('binary', BINARIES)
def test_settings_page_lists_every_key_with_type_and_default(binary):
    expected = list(_settings_rows(SETTINGS_BY_BINARY[binary]))
    assert list(_documented_rows(binary)) == expected


@pytest.mark.parametrize('binary', BINARIES)
def test_example_settings_load_with_and_without_commented_keys(
    binary, tmp_path
):
    example = EXAMPLES / f'{binary}.toml'
    assert binary_for_settings(str(example)) == binary
    load_settings(str(example), SETTINGS_BY_BINARY[binary])
    key_line = re.compile(r'^# (\[?[a-z_]+\]?( = [^.].*)?)$', re.MULTILINE)
    uncommented = tmp_path / 'whole.toml'
    uncommented.write_text(key_line.sub(r'\1', example.read_text()))
    load_settings(str(uncommented), SETTINGS_BY_BINARY[binary])


@pytest.mark.parametrize(
    ('old', 'new', 'parts'),
    [
        ("'10.1.0.11'", "'entry.example'", ('host', 'an IP address')),
        ('port = 8080', 'port = 0', ('port', 'between 1 and 65535')),
        ('port = 8080', 'port = 65536', ('port', 'between 1 and 65535')),
        ('port = 8080', "port = '8080'", ('must be int', '$.http.port')),
        ('port = 8080', 'port = true', ('must be int', '$.http.port')),
        ('port = 8080', '', ("missing key 'port'", '$.http')),
        ('port = 8080', 'port = 1\nx = 2', ('unknown key x', 'allowed: port')),
        ('copies = 2', 'copies = 0', ('copies', 'at least 1')),
        ('copies = 2', 'copies = 2.5', ('must be int', '$.copies')),
        ('copies = 2', 'max_requests = 0', ('max_requests', 'at least 1')),
        (
            'copies = 2',
            'request_timeout_s = 0',
            ('request_timeout_s', 'above 0'),
        ),
        ('copies = 2', 'body_timeout_s = nan', ('body_timeout_s', 'above 0')),
        ('copies = 2', 'request_timeout_s = inf', ('above 0',)),
        ("'hobart-a'", "' '", ('failure_domain', 'not empty')),
        ("'http://10.1.0.5:2379'", "'10.1.0.5'", ('key_value_url', 'a URL')),
        ('[log]', '[logs]', ("missing key 'log'", 'unknown key logs')),
        ('[log]', '[log', ('line',)),
        ('[platform]', 'platform = 3\n[zz]', ('$.platform',)),
    ],
)
def test_invalid_setting_raises_error_with_file_and_key(
    tmp_path, old, new, parts
):
    path = tmp_path / 'entry.toml'
    assert old in ENTRY_EXAMPLE
    path.write_text(ENTRY_EXAMPLE.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(str(path), EntrySettings)
    for part in (str(path), *parts):
        assert part in caught.value.message


def test_unknown_upstream_kind_raises_error_with_allowed_kinds(tmp_path):
    path = tmp_path / 'sidecar.toml'
    example = (EXAMPLES / 'sidecar.toml').read_text()
    path.write_text(example.replace("kind = 'engine'", "kind = 'gpu'"))
    with pytest.raises(SettingsError, match=r"one of \['engine', 'service'\]"):
        load_settings(str(path), SidecarSettings)


@pytest.mark.parametrize('content', [b'\xff\xfe', b'a = 1\x00'])
def test_settings_file_that_is_not_text_raises_settings_error(
    tmp_path, content
):
    path = tmp_path / 'entry.toml'
    path.write_bytes(content)
    with pytest.raises(SettingsError, match='entry.toml'):
        load_settings(str(path), EntrySettings)


@pytest.mark.parametrize('binary', BINARIES)
async def test_validate_command_checks_settings_of_each_binary(
    binary, tmp_path, capsys
):
    example = EXAMPLES / f'{binary}.toml'
    await validate({'CONFIG': str(example)})
    assert f'briarrill-{binary}' in capsys.readouterr().out
    invalid_file = tmp_path / f'{binary}.toml'
    invalid_file.write_text(
        example.read_text().replace('key_value_url', 'key_url')
    )
    with pytest.raises(SettingsError, match='unknown key key_url'):
        await validate({'CONFIG': str(invalid_file)})


async def test_validate_command_checks_configuration_files(tmp_path, capsys):
    await validate({'CONFIG': str(ROOT / 'examples' / 'configuration.toml')})
    assert 'contracts' in capsys.readouterr().out
    invalid_file = tmp_path / 'configuration.toml'
    invalid_file.write_text('[contract.a]\n')
    with pytest.raises(BriarrillError, match='unknown key contract'):
        await validate({'CONFIG': str(invalid_file)})
