"""Imports go down the layers only."""

import ast
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / 'briarrill'

#: Layer to the layers that it may import.
ALLOWED = {
    'transport': {'transport'},
    'protocol': {'protocol', 'transport'},
    'coordination': {'coordination', 'state', 'protocol', 'transport'},
    'state': {'state', 'protocol', 'transport'},
}
BINARIES = {
    'entry',
    'batch',
    'sidecar',
    'ctl',
    'timeline',
    'relay',
    'item_runs',
    'platform',
}

#: The adapter assembles these.
ASSEMBLED = {'platform': {'relay', 'item_runs'}}


def _imported_folders(path: pathlib.Path) -> set[str]:
    """Return the folders of the package that a module imports from."""
    here = path.relative_to(PACKAGE).parent.parts
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = here[: len(here) + 1 - node.level]
        target = (*base, *(node.module or '').split('.'))
        found.add(target[0])
    return found


@pytest.mark.parametrize('layer', sorted(ALLOWED))
def test_layer_imports_only_allowed_layers(layer: str) -> None:
    modules = list((PACKAGE / layer).rglob('*.py'))
    assert modules
    for path in modules:
        folders = _imported_folders(path) & (set(ALLOWED) | BINARIES)
        assert folders <= ALLOWED[layer], path


@pytest.mark.parametrize('binary', sorted(BINARIES))
def test_binaries_do_not_import_each_other(binary: str) -> None:
    modules = list((PACKAGE / binary).rglob('*.py'))
    assert modules
    for path in modules:
        allowed = {binary} | ASSEMBLED.get(binary, set())
        assert not _imported_folders(path) & (BINARIES - allowed), path
