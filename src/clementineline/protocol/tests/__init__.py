"""Tests of the protocol subpackage."""
