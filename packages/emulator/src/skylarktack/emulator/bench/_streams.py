"""A caller that keeps one long stream open."""

import http.client
import threading

from skylarktack import emulator
from skylarktack import state

#: Maximum time without data after which a stream is abandoned.
READ_TIMEOUT_S = 20.0


def read_stream(
    address: state.Address,
    index: int,
    counts: list[int],
    stopping: threading.Event,
) -> None:
    """Read one generation until ``stopping`` is set, counting its tokens.

    :param counts: tokens of each stream; this one counts at ``index``.
    """
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=READ_TIMEOUT_S
    )
    body = f'{{"prompt": "stream {index}", "max_tokens": 100000}}'
    key = emulator.organisation_key('large')
    try:
        connection.request(
            'POST',
            '/v1/generate/digest',
            body,
            {'Authorization': f'Bearer {key}'},
        )
        response = connection.getresponse()
        while not stopping.is_set():
            data = response.read1(65_536)
            if not data:
                break
            counts[index] += data.count(b'id: ')
    except OSError:
        # A stream without data must not hold the benchmark.
        return
    finally:
        connection.close()
