"""Delivered text of one generation, with its token boundaries."""

import array
import hashlib

#: Size of the digest of the delivered text in an event id.
DIGEST_BYTES = 8


class DeliveredText:
    """Text of the tokens received so far, with a running digest.

    A byte array with one offset for each token uses a few bytes per token; a
    list of strings would use about sixty.

    Not thread-safe; owned by the task that relays the stream.
    """

    def __init__(self) -> None:
        self._text = bytearray()
        self._ends = array.array('I')
        self._digest = hashlib.blake2b(digest_size=DIGEST_BYTES)

    @property
    def position(self) -> int:
        """Number of stored tokens, which is the position of the next one."""
        return len(self._ends)

    @property
    def text(self) -> str:
        """The complete text."""
        return self._text.decode('utf-8')

    def append(self, token: bytes) -> str:
        """Append a token in UTF-8; return the digest including it."""
        self._text += token
        self._ends.append(len(self._text))
        # The length distinguishes different tokenisations of one text.
        self._digest.update(b'%d:' % len(token))
        self._digest.update(token)
        return self._digest.copy().hexdigest()

    def digest(self) -> str:
        """Return the digest of all stored tokens."""
        return self._digest.copy().hexdigest()

    def tokens_from(self, position: int) -> list[bytes]:
        """Return the tokens from a position to the end."""
        start = self._ends[position - 1] if position else 0
        tokens: list[bytes] = []
        for end in self._ends[position:]:
            tokens.append(bytes(self._text[start:end]))
            start = end
        return tokens

    @property
    def size_bytes(self) -> int:
        """Memory usage of the text and its offsets."""
        return len(self._text) + len(self._ends) * self._ends.itemsize

    def cursor(self, position: int) -> 'DeliveredCursor':
        """Return a cursor that starts at a position."""
        return DeliveredCursor(self, position)

    def token_at(self, position: int) -> bytes:
        """Return the token at a position, in UTF-8."""
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
    """Reads the stored tokens in order, with a running digest."""

    def __init__(self, delivered: DeliveredText, position: int) -> None:
        self._delivered = delivered
        self._digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self._position = 0
        while self._position < position:
            self.read_next()

    @property
    def position(self) -> int:
        """Position of the next token."""
        return self._position

    def read_next(self) -> tuple[bytes, str]:
        """Return the next token and the digest up to and including it.

        :raises IndexError: if no further token is stored.
        """
        token = self._delivered.token_at(self._position)
        self._position += 1
        self._digest.update(b'%d:' % len(token))
        self._digest.update(token)
        return token, self._digest.copy().hexdigest()
