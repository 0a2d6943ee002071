"""Comparisons in virtual time."""
