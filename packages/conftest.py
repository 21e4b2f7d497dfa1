"""Settings of all tests."""

import hypothesis

# A test must not fail because the machine is busy, and must give the same
# verdict each time.
hypothesis.settings.register_profile(
    'project', deadline=None, derandomize=True, database=None
)
hypothesis.settings.load_profile('project')
