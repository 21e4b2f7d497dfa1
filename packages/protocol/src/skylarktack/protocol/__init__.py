"""Encodings of all messages, apart from the decisions."""

from skylarktack.protocol._caller import REQUEST_ID_HEADER
from skylarktack.protocol._caller import STATUS_BY_CODE
from skylarktack.protocol._caller import CallerStreamEncoder
from skylarktack.protocol._caller import decode_generate_body
from skylarktack.protocol._caller import encode_answer
from skylarktack.protocol._caller import encode_refusal
from skylarktack.protocol._documents import T
from skylarktack.protocol._documents import decode_document
from skylarktack.protocol._documents import decode_settings
from skylarktack.protocol._documents import encode_document
from skylarktack.protocol._engine import PREFIX_BLOCK_CHARS
from skylarktack.protocol._engine import StreamDecoder
from skylarktack.protocol._engine import decode_cache_events
from skylarktack.protocol._engine import decode_engine_load
from skylarktack.protocol._engine import decode_engine_order
from skylarktack.protocol._engine import decode_target_order
from skylarktack.protocol._engine import encode_engine_order
from skylarktack.protocol._engine import encode_plain
from skylarktack.protocol._engine import encode_stream_event
from skylarktack.protocol._engine import prefix_hashes
from skylarktack.protocol._event_ids import MAC_BYTES
from skylarktack.protocol._event_ids import EventIdSigner
from skylarktack.protocol._generate_body import MAX_TOKENS_COUNT
from skylarktack.protocol._generate_body import GenerateBody
from skylarktack.protocol._moves import JsonMoveCodec
from skylarktack.protocol._object_api import decode_objects
from skylarktack.protocol._object_api import decode_platform_list
from skylarktack.protocol._object_api import decode_watch_batch
from skylarktack.protocol._object_api import encode_objects
from skylarktack.protocol._object_api import encode_platform_list
from skylarktack.protocol._object_api import encode_watch_batch
from skylarktack.protocol._peer_codec import WIRE_VERSION
from skylarktack.protocol._peer_codec import Frame
from skylarktack.protocol._peer_codec import FrameFault
from skylarktack.protocol._peer_codec import PeerCodec
from skylarktack.protocol._peer_messages import PEER_MESSAGES

__all__ = [
    'CallerStreamEncoder',
    'EventIdSigner',
    'Frame',
    'FrameFault',
    'GenerateBody',
    'JsonMoveCodec',
    'MAC_BYTES',
    'MAX_TOKENS_COUNT',
    'PEER_MESSAGES',
    'PREFIX_BLOCK_CHARS',
    'PeerCodec',
    'REQUEST_ID_HEADER',
    'STATUS_BY_CODE',
    'StreamDecoder',
    'T',
    'WIRE_VERSION',
    'decode_cache_events',
    'decode_document',
    'decode_engine_load',
    'decode_engine_order',
    'decode_generate_body',
    'decode_objects',
    'decode_platform_list',
    'decode_settings',
    'decode_target_order',
    'decode_watch_batch',
    'encode_answer',
    'encode_document',
    'encode_engine_order',
    'encode_objects',
    'encode_plain',
    'encode_platform_list',
    'encode_refusal',
    'encode_stream_event',
    'encode_watch_batch',
    'prefix_hashes',
]
