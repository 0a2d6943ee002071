"""Tests for bench.ablation."""

import pytest

from bench import ablation


@pytest.mark.parametrize("name", ablation.MECHANISMS)
def test_each_mechanism_is_in_the_sources_once(name):
    """Guards against an ablation that measures the unchanged product."""
    assert ablation.find_source(ablation.MECHANISMS[name], ablation.ROOT).exists()


def test_unknown_mechanism_is_refused(tmp_path):
    """Guards against a copy without any change."""
    with pytest.raises(ablation.AblationError, match="no mechanism"):
        ablation.make_copy("magic", str(tmp_path / "copy"))
