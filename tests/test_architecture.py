"""The layering rules: imports are acyclic, and the packages of one process do not import those of another.

The tests parse the sources and import none of them.
"""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
EDGE = {"edge", "mqtt", "syslog", "journal", "storm", "announced", "config", "tables", "benchlink"}
SYSTEM = {"node", "proxy", "settings", "consensus", "quota", "membership", "transport"}
TOOLS = {"cli", "operator_cli", "lab", "simulation"}
SHARED = {"choice", "terms", "state", "epoch", "in_flight", "net"}


def modules():
    found = {}
    for path in sorted((ROOT / "rampfront").rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imports(name, path, known, late=True):
    """Yields the project's modules that this one imports; with `late`, also those imported within functions."""
    package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    tree = ast.parse(path.read_text())
    nodes = list(ast.walk(tree)) if late else import_time_nodes(tree)
    for node in nodes:
        if isinstance(node, ast.Import):
            rows = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            base = package[: len(package) - node.level + 1] if node.level else []
            base = ".".join([*base, *([node.module] if node.module else [])])
            rows = [f"{base}.{alias.name}" if f"{base}.{alias.name}" in known else base for alias in node.names]
        else:
            continue
        yield from (row for row in rows if row in known and row != name)


def import_time_nodes(tree):
    """Yields the nodes that run when the module is imported, which excludes the bodies of functions."""
    remaining = list(tree.body)
    while remaining:
        node = remaining.pop()
        yield node
        if not isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.Lambda)):
            remaining += ast.iter_child_nodes(node)


def graph(late):
    known = modules()
    return {name: set(imports(name, path, known, late)) for name, path in known.items()}


def find_cycle(graph):
    """Returns a cycle of the graph as a list of names, or None."""
    done, path_so_far = set(), []

    def visit(name):
        if name in path_so_far:
            return [*path_so_far[path_so_far.index(name) :], name]
        if name in done:
            return None
        path_so_far.append(name)
        for other in sorted(graph[name]):
            if found := visit(other):
                return found
        done.add(path_so_far.pop())
        return None

    return next((found for name in sorted(graph) if (found := visit(name))), None)


def top_package(name):
    return (name.split(".") + [""])[1]


def test_no_import_goes_in_a_circle():
    """Imports within functions count too: `cli` and `__main__` once imported each other that way."""
    assert find_cycle(graph(late=True)) is None


def test_a_circle_would_be_found():
    assert find_cycle({"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"a"}}) == ["b", "c", "b"]


def test_imports_go_downwards():
    violations = [
        f"{name} imports {other}"
        for name, others in graph(late=True).items()
        for other in others
        if top_package(name) in SHARED
        and top_package(other) not in SHARED
        or top_package(name) in SYSTEM
        and top_package(other) not in SYSTEM | SHARED
        or top_package(name) in EDGE
        and top_package(other) not in EDGE | SHARED
        or top_package(name) == "choice"
        and top_package(other) not in ("terms", "state", "epoch", "choice")
    ]
    assert violations == []


def test_every_folder_has_its_place_on_the_page():
    """`docs/architecture.md` names the process that runs each package; add a new one there and to a set above."""
    page = (ROOT / "docs/architecture.md").read_text()
    tops = {top_package(name) for name in modules()} - {"", "__main__"}
    assert tops == EDGE | SYSTEM | TOOLS | SHARED
    assert [name for name in sorted(tops) if f"{name}/" not in page and f"{name}.py" not in page] == []


def test_the_deploy_file_names_what_exists():
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert [path for path in deploy["policy"] + deploy["node"] if not (ROOT / path).exists()] == []
