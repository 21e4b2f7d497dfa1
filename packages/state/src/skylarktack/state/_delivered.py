"""Text of one generation, with the boundary of each token."""

import array
import hashlib

#: Digest of delivered text in an event id, in bytes.
DIGEST_BYTES = 8


class DeliveredText:
    """Text received so far, with a running digest for each position.

    One byte array and one offset for each token take a few bytes a token,
    where a list of strings would take about sixty.

    Not safe for use by several threads; the task that relays the stream owns
    it.
    """

    def __init__(self) -> None:
        self._text = bytearray()
        self._ends = array.array('I')
        self._digest = hashlib.blake2b(digest_size=DIGEST_BYTES)

    @property
    def position(self) -> int:
        """Number of tokens held, which is the position of the next one."""
        return len(self._ends)

    @property
    def text(self) -> str:
        """The whole text."""
        return self._text.decode('utf-8')

    def append(self, token: bytes) -> str:
        """Add one token in UTF-8 and return the digest up to its end."""
        self._text += token
        self._ends.append(len(self._text))
        # The length keeps two different splits of one text apart.
        self._digest.update(b'%d:' % len(token))
        self._digest.update(token)
        return self._digest.copy().hexdigest()

    def digest(self) -> str:
        """Return the digest of all tokens held."""
        return self._digest.copy().hexdigest()

    def tokens_from(self, position: int) -> list[bytes]:
        """Return the tokens from a position to the end."""
        start = self._ends[position - 1] if position else 0
        found: list[bytes] = []
        for end in self._ends[position:]:
            found.append(bytes(self._text[start:end]))
            start = end
        return found

    @property
    def size_bytes(self) -> int:
        """Memory that the text and its offsets take."""
        return len(self._text) + len(self._ends) * self._ends.itemsize

    def cursor(self, position: int) -> 'DeliveredCursor':
        """Return a reader of the tokens from a position on."""
        return DeliveredCursor(self, position)

    def slice_text(self, position: int) -> bytes:
        """Return the text of the token at a position."""
        start = self._ends[position - 1] if position else 0
        return bytes(self._text[start : self._ends[position]])

    def digest_at(self, position: int) -> str:
        """Return the digest of the first ``position`` tokens."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        start = 0
        for end in self._ends[:position]:
            token = self._text[start:end]
            digest.update(b'%d:' % len(token))
            digest.update(token)
            start = end
        return digest.hexdigest()


class DeliveredCursor:
    """Reads held tokens in order and keeps the digest of what it read."""

    def __init__(self, delivered: DeliveredText, position: int) -> None:
        self._delivered = delivered
        self._digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self._position = 0
        while self._position < position:
            self.read_next()

    @property
    def position(self) -> int:
        """Position of the token that comes next."""
        return self._position

    def read_next(self) -> tuple[bytes, str]:
        """Return the next token and the digest up to its end.

        :raises IndexError: if no further token is held.
        """
        token = self._delivered.slice_text(self._position)
        self._position += 1
        self._digest.update(b'%d:' % len(token))
        self._digest.update(token)
        return token, self._digest.copy().hexdigest()
