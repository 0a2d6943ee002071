"""Short runs of the soak."""

import pytest
import soak

DURATION_S = 15.0


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_promises_hold_under_random_faults(seed):
    """Guards against broken promises when faults, stops and changes overlap."""
    run = soak.Soak(seed, DURATION_S)
    await run.run()
    assert run.problems == []
    assert sum(one.answer.status == 200 for one in run.outcomes) > 100
