"""Table of the messages between entry instances.

Each subject of the coordination layer defines its messages as frozen data
classes and enters them here under a tag that never changes its meaning.
"""

from skylarktack import state

#: Message types by tag.
PEER_MESSAGES: dict[str, type] = {
    'configuration.offer': state.ConfigurationOffer,
    'configuration.fetch': state.ConfigurationFetch,
    'configuration.answer': state.ConfigurationAnswer,
    'status.request': state.StatusRequest,
    'status.answer': state.InstanceStatus,
}
