"""The introductory pages refer only to modules, names and pages that exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
SOURCES = ROOT / "rampfront"


def resolves(name):
    """Whether a dotted name below `rampfront` is a package, a module, or a top-level class or function."""
    parts = name.split(".")
    folder = SOURCES.joinpath(*parts)
    if (folder / "__init__.py").exists() or folder.with_suffix(".py").exists():
        return True
    path = SOURCES.joinpath(*parts[:-1]).with_suffix(".py")
    if not path.exists():
        return False
    tree = ast.parse(path.read_text())
    return any(getattr(node, "name", None) == parts[-1] for node in tree.body)


def places():
    """Yields every name in the columns headed "where" of the glossary's tables."""
    column = None
    for line in (DOCS / "glossary.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if not line.startswith("|"):
            column = None
        elif column is None:
            column = next((index for index, cell in enumerate(cells) if cell.startswith("where")), -1)
        elif column >= 0:
            yield from re.findall(r"`([^`]+)`", cells[column])


@pytest.mark.parametrize("name", sorted(set(places())))
def test_each_place_in_the_glossary_exists(name):
    assert resolves(name)


@pytest.mark.parametrize("page", ["architecture.md", "edge-node.md", "system/design.md", "on-call.md"])
def test_each_module_named_on_a_page_exists(page):
    paths = re.findall(r"`(?:rampfront/)?([a-z_]+(?:/[a-z_]+)*(?:/|\.py))`", (DOCS / page).read_text())
    assert [path for path in paths if not (SOURCES / path).exists() and not (ROOT / path).exists()] == []


def test_each_page_stands_once_in_the_index():
    index = (DOCS / "README.md").read_text()
    pages = [str(path.relative_to(DOCS)) for path in DOCS.rglob("*.md") if "incidents" not in path.parts]
    assert [page for page in sorted(pages) if page != "README.md" and index.count(f"({page})") != 1] == []


def test_each_link_of_the_index_exists():
    links = re.findall(r"\]\(([^)]+)\)", (DOCS / "README.md").read_text())
    assert [link for link in links if not (DOCS / link).exists()] == []
