"""The faults of an exchange, by the errors that cause them."""

import h11

from skylarktack.coordination import forwarding


def connection_lost(detail: str) -> forwarding.ExchangeFault:
    """Return the fault of a connection that ended within an exchange."""
    return forwarding.ExchangeFault(forwarding.FaultKind.LOST, detail)


def not_sent(event: forwarding.ResponseEvent) -> forwarding.ResponseEvent:
    """Return a lost connection as one that accepted no byte of a request.

    Other events are returned as they are.
    """
    if not isinstance(event, forwarding.ExchangeFault):
        return event
    if event.kind is not forwarding.FaultKind.LOST:
        return event
    return forwarding.ExchangeFault(
        forwarding.FaultKind.NOT_SENT, f'{event.detail}; nothing was sent'
    )


def malformed(error: h11.RemoteProtocolError) -> forwarding.ExchangeFault:
    """Return the fault of a response that breaks the protocol."""
    return forwarding.ExchangeFault(forwarding.FaultKind.MALFORMED, str(error))


def reading_failed(error: OSError) -> forwarding.ExchangeFault:
    """Return the fault of an error of the connection, as a lost one."""
    return connection_lost(f'connection lost: {error.strerror}')


def not_connected(error: OSError) -> forwarding.ExchangeFault:
    """Return the fault of a connection that was not established."""
    kind = forwarding.FaultKind.NOT_CONNECTED
    if isinstance(error, ConnectionRefusedError):
        kind = forwarding.FaultKind.CONNECTION_REFUSED
    detail = error.strerror or 'timed out'
    return forwarding.ExchangeFault(kind, f'no connection: {detail}')
