"""Query tier over many shards."""

import ctypes.util
import importlib

__version__ = "0.1.0"


def _import_trio() -> None:
    """Import trio without its search for the thread library.

    Trio looks for it to give names to threads. The search of `ctypes` starts
    `ldconfig` and may start a compiler, but a process starts no other process.
    """
    search = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        importlib.import_module("trio")
    finally:
        ctypes.util.find_library = search


_import_trio()
