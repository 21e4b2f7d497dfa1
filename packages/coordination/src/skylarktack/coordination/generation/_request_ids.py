"""Request identifiers that name the instance that minted them."""

import re
import uuid

from skylarktack import state

_NAME = re.compile(r'[A-Za-z0-9_-]{1,40}')
_MINTED = re.compile(r'r-([A-Za-z0-9_-]{1,40})-[0-9a-f]{32}')


def create_request_id(instance: state.InstanceName) -> state.RequestId:
    """Return a new identifier that leads peers to this instance."""
    unique = uuid.uuid4().hex
    if _NAME.fullmatch(instance) is None:
        return state.RequestId(f'r-{unique}')
    return state.RequestId(f'r-{instance}-{unique}')


def minting_instance(
    request_id: state.RequestId,
) -> state.InstanceName | None:
    """Return the instance that an identifier names, or None."""
    found = _MINTED.fullmatch(request_id)
    if found is None:
        return None
    return state.InstanceName(found.group(1))
