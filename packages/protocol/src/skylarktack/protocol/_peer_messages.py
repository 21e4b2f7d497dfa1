"""Table of the messages between entry instances.

Each subject of the coordination layer defines its messages as frozen data
classes and enters them here under a tag that never changes its meaning.
"""

from skylarktack.coordination import generation

#: Message types by tag.
PEER_MESSAGES: dict[str, type] = {
    'generation.read': generation.ReadGeneration,
    'generation.part': generation.GenerationPart,
    'generation.cancel': generation.CancelGeneration,
    'generation.cancelled': generation.GenerationCancelled,
}
