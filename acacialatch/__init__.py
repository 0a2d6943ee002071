"""Query tier over many shards."""

import ctypes.util
import importlib

__version__ = "0.1.0"


def _import_trio() -> None:
    """Import trio without its search for the pthread library.

    Trio searches for it with `ctypes` to be able to name threads. That search starts
    `ldconfig` and may start a compiler, but this process must not start others.
    """
    original_find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        importlib.import_module("trio")
    finally:
        ctypes.util.find_library = original_find_library


_import_trio()
