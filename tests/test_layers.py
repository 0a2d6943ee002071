"""Tests of the layers of the package and of its import style."""

import ast
import pathlib
import re
import typing

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
MODULES = sorted(
    path
    for path in (ROOT / "acacialatch").glob("*.py")
    if path.stem not in ("__init__", "__main__")
)
IO_LIBRARIES = {"trio", "socket", "os", "time", "asyncio", "grpclib", "statsd", "eliot"}


def list_design_modules() -> list[str]:
    page = (ROOT / "docs" / "design.md").read_text()
    section = page[page.index("## 2. Modules") : page.index("## 3. ")]
    return re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE)


def list_imports(path: pathlib.Path) -> typing.Iterator[tuple[str, str]]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield from ((node.module or "", alias.name) for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from ((alias.name, "") for alias in node.names)


def test_design_lists_every_module_once():
    """Guards against a design page that lists other modules than the package has."""
    assert sorted(list_design_modules()) == [path.stem for path in MODULES]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_imports_only_lower_modules_and_no_names(path):
    """Guards against import cycles and against imports of names instead of modules."""
    order = list_design_modules()
    for module, name in list_imports(path):
        assert not name or module == "acacialatch", f"name {name} from {module}"
        if module == "acacialatch" and name:
            assert order.index(name) < order.index(path.stem), name


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_core_does_no_input_or_output(path):
    """Guards against a core that does I/O, so that its decisions cannot be replayed.

    The core is `engine` and all modules below it.
    """
    order = list_design_modules()
    if order.index(path.stem) > order.index("engine"):
        return
    imported = {module.split(".")[0] for module, _ in list_imports(path)}
    assert imported & IO_LIBRARIES == set()
