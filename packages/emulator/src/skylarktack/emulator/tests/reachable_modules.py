"""Modules that a program can import, read from the source of its packages.

Packages of the project re-export names lazily, so a module may be imported
only when a name is first used. The search follows such names too.
"""

import ast
from collections.abc import Iterator
import dataclasses
import pathlib

#: Name of the table from which a package re-exports names lazily.
_EXPORT_TABLE_NAME = '_MODULE_BY_NAME'

_PROJECT = 'skylarktack'


@dataclasses.dataclass(frozen=True)
class _Source:
    """Syntax tree of one module."""

    name: str
    is_package: bool
    tree: ast.Module


def reachable_modules(root: pathlib.Path, start: str) -> frozenset[str]:
    """Return the project's modules that one module can import, with itself.

    :param root: folder that contains the project's top-level package.
    :param start: dotted name of the module.
    """
    found: set[str] = set()
    pending = [start]
    while pending:
        name = pending.pop()
        if name in found:
            continue
        source = _read(root, name)
        if source is None:
            continue
        found.add(name)
        parent = name.rpartition('.')[0]
        if parent:
            pending.append(parent)
        pending.extend(_imports_of(root, source))
    return frozenset(found)


def _read(root: pathlib.Path, name: str) -> _Source | None:
    """Return the source of a module, or None if there is no such module."""
    path = root.joinpath(*name.split('.'))
    is_package = path.is_dir()
    path = path / '__init__.py' if is_package else path.with_suffix('.py')
    if not path.is_file():
        return None
    tree = ast.parse(path.read_text(encoding='utf-8'))
    return _Source(name, is_package, tree)


def _imports_of(root: pathlib.Path, source: _Source) -> Iterator[str]:
    module_by_alias: dict[str, str] = {}
    for node in _executed_nodes(source.tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        yield node.module
        for alias in node.names:
            module = f'{node.module}.{alias.name}'
            yield module
            yield from _module_of_export(root, node.module, alias.name)
            module_by_alias[alias.asname or alias.name] = module
    for node in _executed_nodes(source.tree):
        if not isinstance(node, ast.Attribute):
            continue
        if not isinstance(node.value, ast.Name):
            continue
        module = module_by_alias.get(node.value.id, '')
        if module.partition('.')[0] != _PROJECT:
            continue
        yield from _module_of_export(root, module, node.attr)


def _module_of_export(
    root: pathlib.Path, package: str, name: str
) -> Iterator[str]:
    """Yield the module from which a package re-exports a name, if it does."""
    source = _read(root, package)
    if source is None or not source.is_package:
        return
    for node in source.tree.body:
        if not isinstance(node, ast.Assign):
            continue
        target = node.targets[0]
        if not isinstance(target, ast.Name) or target.id != _EXPORT_TABLE_NAME:
            continue
        submodule = ast.literal_eval(node.value).get(name)
        if submodule is not None:
            yield f'{package}.{submodule}'


def _executed_nodes(tree: ast.AST) -> Iterator[ast.AST]:
    """Yield all nodes but those that only a type checker reads."""
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.If) and _is_type_checking(node.test):
            continue
        yield node
        yield from _executed_nodes(node)


def _is_type_checking(test: ast.expr) -> bool:
    return isinstance(test, ast.Name) and test.id == 'TYPE_CHECKING'
