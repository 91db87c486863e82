"""The house: imports go one way, and no process reaches into another's folders. Read off the sources, nothing is imported."""

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
    """Names of our modules that this one imports; `late`: within functions too."""
    package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    tree = ast.parse(path.read_text())
    nodes = list(ast.walk(tree)) if late else early(tree)
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


def early(tree):
    """What runs when the module is imported: all but the bodies of functions."""
    left = list(tree.body)
    while left:
        node = left.pop()
        yield node
        if not isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.Lambda)):
            left += ast.iter_child_nodes(node)


def graph(late):
    known = modules()
    return {name: set(imports(name, path, known, late)) for name, path in known.items()}


def circle(graph):
    """A circle of the graph as a list of names, or None."""
    done, way = set(), []

    def visit(name):
        if name in way:
            return [*way[way.index(name) :], name]
        if name in done:
            return None
        way.append(name)
        for other in sorted(graph[name]):
            if found := visit(other):
                return found
        done.add(way.pop())
        return None

    return next((found for name in sorted(graph) if (found := visit(name))), None)


def top(name):
    return (name.split(".") + [""])[1]


def test_no_import_goes_in_a_circle():
    """Also not where one half of it is within a function: `cli` and `__main__` once needed each other."""
    assert circle(graph(late=True)) is None


def test_a_circle_would_be_found():
    assert circle({"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"a"}}) == ["b", "c", "b"]


def test_imports_go_downwards():
    odd = [
        f"{name} imports {other}"
        for name, others in graph(late=True).items()
        for other in others
        if top(name) in SHARED
        and top(other) not in SHARED
        or top(name) in SYSTEM
        and top(other) not in SYSTEM | SHARED
        or top(name) in EDGE
        and top(other) not in EDGE | SHARED
        or top(name) == "choice"
        and top(other) not in ("terms", "state", "epoch", "choice")
    ]
    assert odd == []


def test_every_folder_has_its_place_on_the_page():
    """`docs/architecture.md` says which process runs it; a new one is put into a set above, and there."""
    page = (ROOT / "docs/architecture.md").read_text()
    tops = {top(name) for name in modules()} - {"", "__main__"}
    assert tops == EDGE | SYSTEM | TOOLS | SHARED
    assert [name for name in sorted(tops) if f"{name}/" not in page and f"{name}.py" not in page] == []


def test_the_deploy_file_names_what_exists():
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert [path for path in deploy["policy"] + deploy["node"] if not (ROOT / path).exists()] == []
