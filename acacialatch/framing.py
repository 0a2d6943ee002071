"""Bound on the chunks in which the body of a message may arrive."""

CHUNKS_FREE = 4096
"""Chunks of a body that may have any size, such as one byte."""

CHUNK_BYTES_MIN = 16
"""Mean size of the further chunks of a body, in bytes.

Each chunk takes the parser a fixed time, whatever its size.
"""


def check_chunks(chunks: int, body_bytes: int) -> None:
    """Check that a body does not consist of too many small chunks.

    Parameters
    ----------
    chunks, body_bytes : int
        Chunks of the body so far, and their bytes together.

    Raises
    ------
    ValueError
        The chunks are too small.
    """
    if chunks > CHUNKS_FREE + body_bytes // CHUNK_BYTES_MIN:
        raise ValueError(f"body of {body_bytes} bytes in {chunks} chunks")
