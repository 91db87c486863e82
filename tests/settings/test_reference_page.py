"""The generated reference page of settings and configurations."""

from rampfront.settings import reference


def test_the_reference_page_in_the_docs_is_current(request):
    assert (request.config.rootpath / "docs/system/reference.md").read_text() == reference.page()
