"""Configuration: validation, conditional updates and distribution.

The object API holds the current record. A few instances watch it and push
each new revision to their peers.
"""

from skylarktack.coordination.configuration._codec import ConfigurationCodec
from skylarktack.coordination.configuration._directory import (
    ConfigurationIndex,
)
from skylarktack.coordination.configuration._effects import (
    find_conflicting_limits,
)
from skylarktack.coordination.configuration._effects import (
    find_entries_without_effect,
)
from skylarktack.coordination.configuration._follower import PEER_QUORUM_COUNT
from skylarktack.coordination.configuration._follower import PEER_TIMEOUT_S
from skylarktack.coordination.configuration._follower import POLL_MAX_S
from skylarktack.coordination.configuration._follower import POLL_MIN_S
from skylarktack.coordination.configuration._follower import RETRY_WAIT_S
from skylarktack.coordination.configuration._follower import WATCH_WAIT_S
from skylarktack.coordination.configuration._follower import WATCHER_COUNT
from skylarktack.coordination.configuration._follower import (
    ConfigurationFollower,
)
from skylarktack.coordination.configuration._follower import (
    FollowerDependencies,
)
from skylarktack.coordination.configuration._forwarding_effects import (
    find_conflicting_forwarding_limits,
)
from skylarktack.coordination.configuration._forwarding_effects import (
    find_forwarding_entries_without_effect,
)
from skylarktack.coordination.configuration._holder import ConfigurationHolder
from skylarktack.coordination.configuration._publisher import CURRENT_KEY
from skylarktack.coordination.configuration._publisher import HISTORY_COUNT
from skylarktack.coordination.configuration._publisher import HISTORY_PREFIX
from skylarktack.coordination.configuration._publisher import (
    RECENT_CHANGES_COUNT,
)
from skylarktack.coordination.configuration._publisher import VALUE_LIMIT_BYTES
from skylarktack.coordination.configuration._publisher import ChangeFault
from skylarktack.coordination.configuration._publisher import ChangeFaultKind
from skylarktack.coordination.configuration._publisher import (
    ConfigurationPublisher,
)
from skylarktack.coordination.configuration._rules import MOVE_DURATION_MIN_S
from skylarktack.coordination.configuration._rules import WAIT_LIMIT_MS
from skylarktack.coordination.configuration._rules import check_document
from skylarktack.coordination.configuration._topics import PositionTopic
from skylarktack.coordination.configuration._topics import RevisionTopic

__all__ = [
    'CURRENT_KEY',
    'ChangeFault',
    'ChangeFaultKind',
    'ConfigurationCodec',
    'ConfigurationIndex',
    'ConfigurationFollower',
    'ConfigurationHolder',
    'ConfigurationPublisher',
    'FollowerDependencies',
    'HISTORY_COUNT',
    'HISTORY_PREFIX',
    'MOVE_DURATION_MIN_S',
    'PEER_TIMEOUT_S',
    'POLL_MAX_S',
    'POLL_MIN_S',
    'RECENT_CHANGES_COUNT',
    'PositionTopic',
    'RETRY_WAIT_S',
    'RevisionTopic',
    'PEER_QUORUM_COUNT',
    'VALUE_LIMIT_BYTES',
    'WAIT_LIMIT_MS',
    'WATCHER_COUNT',
    'WATCH_WAIT_S',
    'check_document',
    'find_conflicting_forwarding_limits',
    'find_conflicting_limits',
    'find_entries_without_effect',
    'find_forwarding_entries_without_effect',
]
