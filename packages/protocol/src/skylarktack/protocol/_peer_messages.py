"""Table of the messages between entry instances.

Each subject of the coordination layer defines its messages as frozen data
classes and enters them here under a tag that never changes its meaning.
"""

from skylarktack import state

#: Message types by tag.
PEER_MESSAGES: dict[str, type] = {
    'moves.evidence': state.EvidenceReport,
    'moves.notice': state.MoveNotice,
    'moves.stop': state.MoveStop,
}
