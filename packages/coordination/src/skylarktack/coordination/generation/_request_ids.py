"""Request identifiers that contain the name of the issuing instance."""

import re
import uuid

from skylarktack import state

_INSTANCE_NAME = re.compile(r'[A-Za-z0-9_-]{1,40}')
_ISSUED_ID = re.compile(r'r-([A-Za-z0-9_-]{1,40})-[0-9a-f]{32}')


def create_request_id(instance: state.InstanceName) -> state.RequestId:
    """Return a new identifier by which peers find this instance."""
    unique = uuid.uuid4().hex
    if _INSTANCE_NAME.fullmatch(instance) is None:
        return state.RequestId(f'r-{unique}')
    return state.RequestId(f'r-{instance}-{unique}')


def issuing_instance(
    request_id: state.RequestId,
) -> state.InstanceName | None:
    """Return the instance that issued an identifier, or None."""
    match = _ISSUED_ID.fullmatch(request_id)
    if match is None:
        return None
    return state.InstanceName(match.group(1))
