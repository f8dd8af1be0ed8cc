"""Modules import only from their own layer and the layers below."""

import ast
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / 'briarrill'

#: Layer to the layers that its modules may import from.
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

#: Binary to the other binaries whose parts it is assembled from.
ASSEMBLED_FROM = {'platform': {'relay', 'item_runs'}}


def _imported_folders(path: pathlib.Path) -> set[str]:
    """Return the top-level folders that a module's relative imports name."""
    module_folder = path.relative_to(PACKAGE).parent.parts
    imported_folders = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = module_folder[: len(module_folder) + 1 - node.level]
        target = (*base, *(node.module or '').split('.'))
        imported_folders.add(target[0])
    return imported_folders


@pytest.mark.parametrize('layer', sorted(ALLOWED))
def test_layer_imports_only_allowed_layers(layer: str) -> None:
    modules = list((PACKAGE / layer).rglob('*.py'))
    assert modules
    for path in modules:
        folders = _imported_folders(path) & (set(ALLOWED) | BINARIES)
        assert folders <= ALLOWED[layer], path


@pytest.mark.parametrize('binary', sorted(BINARIES))
def test_binary_imports_no_other_binary(binary: str) -> None:
    modules = list((PACKAGE / binary).rglob('*.py'))
    assert modules
    for path in modules:
        allowed = {binary} | ASSEMBLED_FROM.get(binary, set())
        assert not _imported_folders(path) & (BINARIES - allowed), path
