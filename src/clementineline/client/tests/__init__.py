"""Tests of the client subpackage."""
