"""Network addresses."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    #: IP address in its text form.
    host: str

    #: TCP port, or UDP port for datagrams.
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'
