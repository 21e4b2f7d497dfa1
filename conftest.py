"""Profiles of the tests that generate their examples."""

import hypothesis

#: Examples of each test in ``make test`` and in ``make fuzz``.
BOUNDED_EXAMPLE_COUNT = 300
LONG_EXAMPLE_COUNT = 2_000

hypothesis.settings.register_profile(
    'bounded',
    max_examples=BOUNDED_EXAMPLE_COUNT,
    # Derandomised tests have a fixed seed.
    derandomize=True,
    deadline=None,
)
hypothesis.settings.register_profile(
    'long',
    max_examples=LONG_EXAMPLE_COUNT,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile('bounded')
