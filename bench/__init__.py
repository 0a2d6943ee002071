"""Measurements in virtual time against a naive version."""
