"""Hashes of the prompt prefixes that engines cache."""

import hashlib

#: Length of a prompt block whose prefix engines cache, in characters.
PREFIX_BLOCK_CHARS = 64


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return the hash of each cacheable prefix of a prompt, shortest first.

    Prefixes end at multiples of ``PREFIX_BLOCK_CHARS``.
    """
    hashes: list[str] = []
    digest = hashlib.blake2b(digest_size=8)
    last_start = len(prompt) - PREFIX_BLOCK_CHARS
    for start in range(0, last_start + 1, PREFIX_BLOCK_CHARS):
        digest.update(prompt[start : start + PREFIX_BLOCK_CHARS].encode())
        hashes.append(digest.copy().hexdigest())
    return tuple(hashes)
