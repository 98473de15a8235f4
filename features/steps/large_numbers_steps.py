"""Count versions and eras from a time in milliseconds."""

from behave import given
from behave.runner import Context
from steps.direct_steps import name_weights
from support.direct_bench import direct_bench
from support.direct_bench import MODEL

_TIME_MS = 1_764_800_000_000


@given('an engine whose weights have a newer version of 13 digits')
def step_newer(context: Context) -> None:
    """Load weights at an engine after it wrote its entry."""
    bench = direct_bench(context)
    name_weights(context, _TIME_MS)
    engine = bench.add_upstream('eng-1', 'models')
    engine.weights[MODEL] = _TIME_MS
    bench.register('eng-1')
    engine.weights[MODEL] = _TIME_MS + 1


@given('eras of the store with 13 digits')
def step_eras(context: Context) -> None:
    """Set the first era."""
    bench = direct_bench(context)
    bench.on_loop(lambda: bench.store.count_eras_from(_TIME_MS))
