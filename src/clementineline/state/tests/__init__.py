"""Tests of the state subpackage."""
