"""Stand-ins, load tool and benchmarks; not part of the two binaries."""

from skylarktack.emulator._caller import ReceivedAnswer
from skylarktack.emulator._caller import fetch_generation
from skylarktack.emulator._caller import generate
from skylarktack.emulator._caller_loop import ResumedAnswer
from skylarktack.emulator._caller_loop import generate_resumed
from skylarktack.emulator._deployment import OPERATOR_TOKEN
from skylarktack.emulator._deployment import SECRET
from skylarktack.emulator._deployment import Deployment
from skylarktack.emulator._deployment import DeploymentShape
from skylarktack.emulator._deployment import default_document
from skylarktack.emulator._deployment import key_hash
from skylarktack.emulator._deployment import organisation_key
from skylarktack.emulator._engine import KEEPALIVE_S
from skylarktack.emulator._engine import EngineServer
from skylarktack.emulator._engine_model import EngineFaults
from skylarktack.emulator._engine_model import EngineModel
from skylarktack.emulator._engine_model import EngineRun
from skylarktack.emulator._engine_model import EngineShape
from skylarktack.emulator._engine_model import expected_text
from skylarktack.emulator._engine_model import expected_token
from skylarktack.emulator._http_stand_in import StandInHandler
from skylarktack.emulator._http_stand_in import StandInServer
from skylarktack.emulator._http_stand_in import address_of
from skylarktack.emulator._http_stand_in import serve_stand_in
from skylarktack.emulator._link import CuttableLink
from skylarktack.emulator._object_api import ObjectApi
from skylarktack.emulator._object_api import ObjectApiFaults
from skylarktack.emulator._object_api import ObjectApiServer
from skylarktack.emulator._peer_fleet import PeerFleet
from skylarktack.emulator._process import ANNOUNCE_TIMEOUT_S
from skylarktack.emulator._process import STOP_TIMEOUT_S
from skylarktack.emulator._process import EmulatedProcess
from skylarktack.emulator._process import wait_ready
from skylarktack.emulator._service import ServiceFaults
from skylarktack.emulator._service import ServiceServer

__all__ = [
    'ANNOUNCE_TIMEOUT_S',
    'CuttableLink',
    'Deployment',
    'DeploymentShape',
    'EmulatedProcess',
    'EngineFaults',
    'EngineModel',
    'EngineRun',
    'EngineServer',
    'EngineShape',
    'KEEPALIVE_S',
    'OPERATOR_TOKEN',
    'ObjectApi',
    'ObjectApiFaults',
    'ObjectApiServer',
    'PeerFleet',
    'ReceivedAnswer',
    'ResumedAnswer',
    'SECRET',
    'STOP_TIMEOUT_S',
    'ServiceFaults',
    'ServiceServer',
    'StandInHandler',
    'StandInServer',
    'address_of',
    'default_document',
    'expected_text',
    'expected_token',
    'fetch_generation',
    'generate',
    'generate_resumed',
    'key_hash',
    'organisation_key',
    'serve_stand_in',
    'wait_ready',
]
