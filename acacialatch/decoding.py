"""Decoding of input from outside the process, which may hold anything."""

import typing

import result

DETAIL_LENGTH_MAX = 200
"""Longest description of a problem, in characters; the input may be much larger."""

_Value = typing.TypeVar("_Value")


def decode(
    decoder: typing.Callable[..., _Value],
    *arguments: typing.Any,
    **options: typing.Any,
) -> result.Result[_Value, str]:
    """Run a decoder on untrusted input.

    Any exception means that the input cannot be used. No list of exception types would
    be complete: the libraries also raise some that they do not document, such as
    RecursionError for deeply nested input.

    Parameters
    ----------
    decoder : callable
        Called with the other parameters. It must not change any state.

    Returns
    -------
    Result
        What the decoder returned, or why the input cannot be used.
    """
    try:
        return result.Ok(decoder(*arguments, **options))
    except Exception as error:
        return result.Err(describe(error))


def describe(error: Exception) -> str:
    """Return the type and text of an exception, in ASCII and of bounded length."""
    text = f"{type(error).__name__}: {str(error)[:DETAIL_LENGTH_MAX]}"
    return ascii(text)[1:-1][:DETAIL_LENGTH_MAX]
