"""Encodings of all messages, separate from the coordination logic."""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.protocol._caller import HANDOVER
    from skylarktack.protocol._caller import LAST_EVENT_ID_HEADER
    from skylarktack.protocol._caller import REQUEST_ID_HEADER
    from skylarktack.protocol._caller import STATUS_BY_CODE
    from skylarktack.protocol._caller import CallerStreamEncoder
    from skylarktack.protocol._caller import decode_generate_body
    from skylarktack.protocol._caller import encode_answer
    from skylarktack.protocol._caller import encode_refusal
    from skylarktack.protocol._claims import LAYOUT_VERSION
    from skylarktack.protocol._claims import CborSegmentCodec
    from skylarktack.protocol._configurations import RECORD_LIMIT_BYTES
    from skylarktack.protocol._configurations import JsonConfigurationCodec
    from skylarktack.protocol._configurations import decode_findings
    from skylarktack.protocol._configurations import (
        decode_record_for_operators,
    )
    from skylarktack.protocol._configurations import encode_findings
    from skylarktack.protocol._configurations import (
        encode_record_for_operators,
    )
    from skylarktack.protocol._console import LISTED_COUNT
    from skylarktack.protocol._console import SECTIONS
    from skylarktack.protocol._console import ConsoleField
    from skylarktack.protocol._console import ConsolePage
    from skylarktack.protocol._console import document_difference
    from skylarktack.protocol._console import new_entry
    from skylarktack.protocol._console import read_entry
    from skylarktack.protocol._console import render_console
    from skylarktack.protocol._digests import StructDigestCodec
    from skylarktack.protocol._documents import T
    from skylarktack.protocol._documents import decode_document
    from skylarktack.protocol._documents import decode_settings
    from skylarktack.protocol._documents import encode_document
    from skylarktack.protocol._engine import StreamDecoder
    from skylarktack.protocol._engine import decode_cache_events
    from skylarktack.protocol._engine import decode_engine_load
    from skylarktack.protocol._engine import decode_engine_order
    from skylarktack.protocol._engine import decode_target_order
    from skylarktack.protocol._engine import encode_engine_order
    from skylarktack.protocol._engine import encode_plain
    from skylarktack.protocol._engine import encode_stream_event
    from skylarktack.protocol._event_ids import EVENT_ID_LIMIT_CHARS
    from skylarktack.protocol._event_ids import MAC_BYTES
    from skylarktack.protocol._event_ids import EventIdSigner
    from skylarktack.protocol._generate_body import MAX_TOKENS_COUNT
    from skylarktack.protocol._generate_body import GenerateBody
    from skylarktack.protocol._json_values import Unreadable
    from skylarktack.protocol._json_values import decode_json
    from skylarktack.protocol._json_values import unreadable_cause
    from skylarktack.protocol._loans import CborLoanCodec
    from skylarktack.protocol._moves import JsonMoveCodec
    from skylarktack.protocol._object_api import OBJECT_API_ERA_HEADER
    from skylarktack.protocol._object_api import decode_object_api_era
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
    from skylarktack.protocol._peer_session import FRAME_CODE_BYTES
    from skylarktack.protocol._peer_session import NONCE_BYTES
    from skylarktack.protocol._peer_session import FrameSeal
    from skylarktack.protocol._peer_session import PeerAuthenticator
    from skylarktack.protocol._peer_session import PeerChallenge
    from skylarktack.protocol._peer_session import PeerDone
    from skylarktack.protocol._peer_session import PeerHello
    from skylarktack.protocol._peer_session import PeerProof
    from skylarktack.protocol._peer_session import PeerRefusal

__all__ = [
    'CallerStreamEncoder',
    'CborLoanCodec',
    'CborSegmentCodec',
    'ConsoleField',
    'ConsolePage',
    'EVENT_ID_LIMIT_CHARS',
    'EventIdSigner',
    'FRAME_CODE_BYTES',
    'Frame',
    'FrameFault',
    'FrameSeal',
    'GenerateBody',
    'HANDOVER',
    'JsonConfigurationCodec',
    'JsonMoveCodec',
    'LAST_EVENT_ID_HEADER',
    'LAYOUT_VERSION',
    'LISTED_COUNT',
    'MAC_BYTES',
    'MAX_TOKENS_COUNT',
    'NONCE_BYTES',
    'PEER_MESSAGES',
    'PeerAuthenticator',
    'PeerChallenge',
    'PeerCodec',
    'PeerDone',
    'PeerHello',
    'PeerProof',
    'PeerRefusal',
    'RECORD_LIMIT_BYTES',
    'REQUEST_ID_HEADER',
    'SECTIONS',
    'STATUS_BY_CODE',
    'OBJECT_API_ERA_HEADER',
    'StreamDecoder',
    'StructDigestCodec',
    'T',
    'Unreadable',
    'WIRE_VERSION',
    'decode_cache_events',
    'decode_document',
    'decode_engine_load',
    'decode_engine_order',
    'decode_findings',
    'decode_generate_body',
    'decode_json',
    'decode_objects',
    'decode_platform_list',
    'decode_record_for_operators',
    'decode_settings',
    'decode_target_order',
    'decode_object_api_era',
    'decode_watch_batch',
    'document_difference',
    'encode_answer',
    'encode_document',
    'encode_engine_order',
    'encode_findings',
    'encode_objects',
    'encode_plain',
    'encode_platform_list',
    'encode_record_for_operators',
    'encode_refusal',
    'encode_stream_event',
    'encode_watch_batch',
    'new_entry',
    'read_entry',
    'render_console',
    'unreadable_cause',
]

_MODULE_BY_NAME = {
    'HANDOVER': '_caller',
    'LAST_EVENT_ID_HEADER': '_caller',
    'REQUEST_ID_HEADER': '_caller',
    'STATUS_BY_CODE': '_caller',
    'CallerStreamEncoder': '_caller',
    'decode_generate_body': '_caller',
    'encode_answer': '_caller',
    'encode_refusal': '_caller',
    'LAYOUT_VERSION': '_claims',
    'CborSegmentCodec': '_claims',
    'RECORD_LIMIT_BYTES': '_configurations',
    'JsonConfigurationCodec': '_configurations',
    'decode_findings': '_configurations',
    'decode_record_for_operators': '_configurations',
    'encode_findings': '_configurations',
    'encode_record_for_operators': '_configurations',
    'LISTED_COUNT': '_console',
    'SECTIONS': '_console',
    'ConsoleField': '_console',
    'ConsolePage': '_console',
    'document_difference': '_console',
    'new_entry': '_console',
    'read_entry': '_console',
    'render_console': '_console',
    'StructDigestCodec': '_digests',
    'T': '_documents',
    'decode_document': '_documents',
    'decode_settings': '_documents',
    'encode_document': '_documents',
    'StreamDecoder': '_engine',
    'decode_cache_events': '_engine',
    'decode_engine_load': '_engine',
    'decode_engine_order': '_engine',
    'decode_target_order': '_engine',
    'encode_engine_order': '_engine',
    'encode_plain': '_engine',
    'encode_stream_event': '_engine',
    'EVENT_ID_LIMIT_CHARS': '_event_ids',
    'MAC_BYTES': '_event_ids',
    'EventIdSigner': '_event_ids',
    'MAX_TOKENS_COUNT': '_generate_body',
    'GenerateBody': '_generate_body',
    'Unreadable': '_json_values',
    'decode_json': '_json_values',
    'unreadable_cause': '_json_values',
    'CborLoanCodec': '_loans',
    'JsonMoveCodec': '_moves',
    'OBJECT_API_ERA_HEADER': '_object_api',
    'decode_objects': '_object_api',
    'decode_platform_list': '_object_api',
    'decode_object_api_era': '_object_api',
    'decode_watch_batch': '_object_api',
    'encode_objects': '_object_api',
    'encode_platform_list': '_object_api',
    'encode_watch_batch': '_object_api',
    'WIRE_VERSION': '_peer_codec',
    'Frame': '_peer_codec',
    'FrameFault': '_peer_codec',
    'PeerCodec': '_peer_codec',
    'PEER_MESSAGES': '_peer_messages',
    'FRAME_CODE_BYTES': '_peer_session',
    'NONCE_BYTES': '_peer_session',
    'FrameSeal': '_peer_session',
    'PeerAuthenticator': '_peer_session',
    'PeerChallenge': '_peer_session',
    'PeerDone': '_peer_session',
    'PeerHello': '_peer_session',
    'PeerProof': '_peer_session',
    'PeerRefusal': '_peer_session',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
