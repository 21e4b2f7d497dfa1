"""Sockets of skylarktack: servers, clients and metrics."""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.transport._answers import StartResponse
    from skylarktack.transport._answers import not_run
    from skylarktack.transport._answers import plain
    from skylarktack.transport._answers import refuse
    from skylarktack.transport._answers import whole
    from skylarktack.transport._call_endpoints import CallEndpoints
    from skylarktack.transport._call_endpoints import Refuse
    from skylarktack.transport._caller_application import CallerApplication
    from skylarktack.transport._caller_application import CallerParts
    from skylarktack.transport._console_endpoint import ConsoleEndpoint
    from skylarktack.transport._engine_client import READ_LIMIT_BYTES
    from skylarktack.transport._engine_client import HttpEngineClient
    from skylarktack.transport._engine_client import HttpTokenStream
    from skylarktack.transport._generation_endpoints import GenerationEndpoints
    from skylarktack.transport._http_client import HttpAnswer
    from skylarktack.transport._http_client import HttpFault
    from skylarktack.transport._http_client import OpenConnections
    from skylarktack.transport._http_client import OpenResponse
    from skylarktack.transport._http_client import http_call
    from skylarktack.transport._http_client import open_http_response
    from skylarktack.transport._logs import configure_logs
    from skylarktack.transport._lookup_client import IDLE_LIMIT_COUNT
    from skylarktack.transport._lookup_client import HttpLookupClient
    from skylarktack.transport._metrics import DURATION_LIMIT_MS
    from skylarktack.transport._metrics import LABEL_LIMIT_COUNT
    from skylarktack.transport._metrics import OTHER_LABEL
    from skylarktack.transport._metrics import StatsdMetrics
    from skylarktack.transport._object_store import HttpObjectStore
    from skylarktack.transport._operator_answers import OperatorAnswer
    from skylarktack.transport._operator_answers import change_fault
    from skylarktack.transport._operator_answers import json_answer
    from skylarktack.transport._operator_answers import json_error
    from skylarktack.transport._operator_answers import record_summary
    from skylarktack.transport._operator_answers import token_of
    from skylarktack.transport._operator_application import HISTORY_COUNT
    from skylarktack.transport._operator_application import (
        OPERATOR_BODY_LIMIT_BYTES,
    )
    from skylarktack.transport._operator_application import OperatorApplication
    from skylarktack.transport._operator_application import OperatorExtension
    from skylarktack.transport._operator_application import OperatorParts
    from skylarktack.transport._operator_application import PlannedStop
    from skylarktack.transport._operator_application import StatusSource
    from skylarktack.transport._peer_handshake import PeerHandshake
    from skylarktack.transport._peer_link import PeerLink
    from skylarktack.transport._peer_link import PeerSession
    from skylarktack.transport._peer_links import IDLE_S
    from skylarktack.transport._peer_links import INACTIVITY_TIMEOUT_S
    from skylarktack.transport._peer_links import PeerLinks
    from skylarktack.transport._peer_listener import listen_for_peers
    from skylarktack.transport._peer_network import HANDLER_COUNT
    from skylarktack.transport._peer_network import OPEN_TIMEOUT_S
    from skylarktack.transport._peer_network import REQUEST_LIMIT_COUNT
    from skylarktack.transport._peer_network import SEND_TIMEOUT_S
    from skylarktack.transport._peer_network import PeerNetworkParts
    from skylarktack.transport._peer_network import WebsocketPeerNetwork
    from skylarktack.transport._routes import find_generation_route
    from skylarktack.transport._routes import find_route
    from skylarktack.transport._routes import may_use
    from skylarktack.transport._service_client import OUTCOME_STATUS_HEADER
    from skylarktack.transport._service_client import HttpServiceClient
    from skylarktack.transport._service_client import call_headers
    from skylarktack.transport._service_client import dispatch_fault
    from skylarktack.transport._service_client import service_answer
    from skylarktack.transport._wsgi_server import Application
    from skylarktack.transport._wsgi_server import WsgiServer

__all__ = [
    'Application',
    'CallEndpoints',
    'CallerApplication',
    'CallerParts',
    'ConsoleEndpoint',
    'DURATION_LIMIT_MS',
    'GenerationEndpoints',
    'HANDLER_COUNT',
    'HISTORY_COUNT',
    'HttpAnswer',
    'HttpEngineClient',
    'HttpFault',
    'HttpLookupClient',
    'HttpObjectStore',
    'HttpServiceClient',
    'HttpTokenStream',
    'IDLE_LIMIT_COUNT',
    'IDLE_S',
    'INACTIVITY_TIMEOUT_S',
    'LABEL_LIMIT_COUNT',
    'OPEN_TIMEOUT_S',
    'OPERATOR_BODY_LIMIT_BYTES',
    'OTHER_LABEL',
    'OUTCOME_STATUS_HEADER',
    'OpenConnections',
    'OpenResponse',
    'OperatorAnswer',
    'OperatorApplication',
    'OperatorExtension',
    'OperatorParts',
    'PeerHandshake',
    'PeerLink',
    'PeerLinks',
    'PeerNetworkParts',
    'PeerSession',
    'PlannedStop',
    'READ_LIMIT_BYTES',
    'REQUEST_LIMIT_COUNT',
    'Refuse',
    'SEND_TIMEOUT_S',
    'StartResponse',
    'StatsdMetrics',
    'StatusSource',
    'WebsocketPeerNetwork',
    'WsgiServer',
    'call_headers',
    'change_fault',
    'configure_logs',
    'dispatch_fault',
    'find_generation_route',
    'find_route',
    'http_call',
    'json_answer',
    'json_error',
    'listen_for_peers',
    'may_use',
    'not_run',
    'open_http_response',
    'plain',
    'record_summary',
    'refuse',
    'service_answer',
    'token_of',
    'whole',
]

_MODULE_BY_NAME = {
    'StartResponse': '_answers',
    'not_run': '_answers',
    'plain': '_answers',
    'refuse': '_answers',
    'whole': '_answers',
    'CallEndpoints': '_call_endpoints',
    'Refuse': '_call_endpoints',
    'CallerApplication': '_caller_application',
    'CallerParts': '_caller_application',
    'ConsoleEndpoint': '_console_endpoint',
    'READ_LIMIT_BYTES': '_engine_client',
    'HttpEngineClient': '_engine_client',
    'HttpTokenStream': '_engine_client',
    'GenerationEndpoints': '_generation_endpoints',
    'OPERATOR_BODY_LIMIT_BYTES': '_operator_application',
    'HttpAnswer': '_http_client',
    'HttpFault': '_http_client',
    'OpenConnections': '_http_client',
    'OpenResponse': '_http_client',
    'http_call': '_http_client',
    'open_http_response': '_http_client',
    'configure_logs': '_logs',
    'IDLE_LIMIT_COUNT': '_lookup_client',
    'HttpLookupClient': '_lookup_client',
    'DURATION_LIMIT_MS': '_metrics',
    'LABEL_LIMIT_COUNT': '_metrics',
    'OTHER_LABEL': '_metrics',
    'StatsdMetrics': '_metrics',
    'HttpObjectStore': '_object_store',
    'OperatorAnswer': '_operator_answers',
    'change_fault': '_operator_answers',
    'json_answer': '_operator_answers',
    'json_error': '_operator_answers',
    'record_summary': '_operator_answers',
    'token_of': '_operator_answers',
    'HISTORY_COUNT': '_operator_application',
    'OperatorApplication': '_operator_application',
    'OperatorExtension': '_operator_application',
    'OperatorParts': '_operator_application',
    'PlannedStop': '_operator_application',
    'StatusSource': '_operator_application',
    'PeerHandshake': '_peer_handshake',
    'PeerLink': '_peer_link',
    'PeerSession': '_peer_link',
    'IDLE_S': '_peer_links',
    'INACTIVITY_TIMEOUT_S': '_peer_links',
    'PeerLinks': '_peer_links',
    'HANDLER_COUNT': '_peer_network',
    'OPEN_TIMEOUT_S': '_peer_network',
    'REQUEST_LIMIT_COUNT': '_peer_network',
    'SEND_TIMEOUT_S': '_peer_network',
    'PeerNetworkParts': '_peer_network',
    'WebsocketPeerNetwork': '_peer_network',
    'listen_for_peers': '_peer_listener',
    'find_generation_route': '_routes',
    'find_route': '_routes',
    'may_use': '_routes',
    'OUTCOME_STATUS_HEADER': '_service_client',
    'HttpServiceClient': '_service_client',
    'call_headers': '_service_client',
    'dispatch_fault': '_service_client',
    'service_answer': '_service_client',
    'Application': '_wsgi_server',
    'WsgiServer': '_wsgi_server',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
