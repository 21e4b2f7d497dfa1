"""Sockets of skylarktack: servers, clients and metrics."""

from skylarktack.transport._caller_application import CallerApplication
from skylarktack.transport._caller_application import CallerParts
from skylarktack.transport._caller_application import StartResponse
from skylarktack.transport._engine_client import READ_LIMIT_BYTES
from skylarktack.transport._engine_client import HttpEngineClient
from skylarktack.transport._engine_client import HttpTokenStream
from skylarktack.transport._http_client import HttpAnswer
from skylarktack.transport._http_client import HttpFault
from skylarktack.transport._http_client import OpenResponse
from skylarktack.transport._http_client import http_call
from skylarktack.transport._http_client import open_http_response
from skylarktack.transport._logs import configure_logs
from skylarktack.transport._lookup_client import HttpLookupClient
from skylarktack.transport._metrics import DURATION_LIMIT_MS
from skylarktack.transport._metrics import LABEL_LIMIT_COUNT
from skylarktack.transport._metrics import OTHER_LABEL
from skylarktack.transport._metrics import StatsdMetrics
from skylarktack.transport._object_store import HttpObjectStore
from skylarktack.transport._service_client import HttpServiceClient
from skylarktack.transport._wsgi_server import Application
from skylarktack.transport._wsgi_server import WsgiServer

__all__ = [
    'Application',
    'CallerApplication',
    'CallerParts',
    'DURATION_LIMIT_MS',
    'HttpAnswer',
    'HttpEngineClient',
    'HttpFault',
    'HttpLookupClient',
    'HttpObjectStore',
    'HttpServiceClient',
    'HttpTokenStream',
    'LABEL_LIMIT_COUNT',
    'OTHER_LABEL',
    'OpenResponse',
    'READ_LIMIT_BYTES',
    'StartResponse',
    'StatsdMetrics',
    'WsgiServer',
    'configure_logs',
    'http_call',
    'open_http_response',
]
