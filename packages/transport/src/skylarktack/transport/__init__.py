"""Sockets of skylarktack: servers, clients and metrics."""

from skylarktack.transport._caller_application import CallerApplication
from skylarktack.transport._caller_application import CallerParts
from skylarktack.transport._caller_application import StartResponse
from skylarktack.transport._console_endpoint import ConsoleEndpoint
from skylarktack.transport._engine_client import READ_LIMIT_BYTES
from skylarktack.transport._engine_client import HttpEngineClient
from skylarktack.transport._engine_client import HttpTokenStream
from skylarktack.transport._http_client import HttpAnswer
from skylarktack.transport._http_client import HttpFault
from skylarktack.transport._http_client import OpenResponse
from skylarktack.transport._http_client import http_call
from skylarktack.transport._http_client import open_http_response
from skylarktack.transport._logs import configure_logs
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
from skylarktack.transport._operator_application import BODY_LIMIT_BYTES
from skylarktack.transport._operator_application import HISTORY_COUNT
from skylarktack.transport._operator_application import OperatorApplication
from skylarktack.transport._operator_application import OperatorExtension
from skylarktack.transport._operator_application import OperatorParts
from skylarktack.transport._operator_application import PlannedStop
from skylarktack.transport._operator_application import StatusSource
from skylarktack.transport._peer_network import PeerNetworkParts
from skylarktack.transport._peer_network import WebsocketPeerNetwork
from skylarktack.transport._peer_network import listen_for_peers
from skylarktack.transport._service_client import HttpServiceClient
from skylarktack.transport._wsgi_server import Application
from skylarktack.transport._wsgi_server import WsgiServer

__all__ = [
    'Application',
    'BODY_LIMIT_BYTES',
    'CallerApplication',
    'CallerParts',
    'ConsoleEndpoint',
    'DURATION_LIMIT_MS',
    'HISTORY_COUNT',
    'HttpAnswer',
    'HttpEngineClient',
    'HttpFault',
    'HttpObjectStore',
    'HttpServiceClient',
    'HttpTokenStream',
    'LABEL_LIMIT_COUNT',
    'OTHER_LABEL',
    'OpenResponse',
    'OperatorAnswer',
    'OperatorApplication',
    'OperatorExtension',
    'OperatorParts',
    'PlannedStop',
    'READ_LIMIT_BYTES',
    'StartResponse',
    'StatsdMetrics',
    'StatusSource',
    'PeerNetworkParts',
    'READ_LIMIT_BYTES',
    'StartResponse',
    'StatsdMetrics',
    'WebsocketPeerNetwork',
    'WsgiServer',
    'change_fault',
    'configure_logs',
    'http_call',
    'json_answer',
    'json_error',
    'listen_for_peers',
    'open_http_response',
    'record_summary',
    'token_of',
]
