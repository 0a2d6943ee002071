"""Demonstration with stand-ins and several entry instances."""
