"""Tests of the coordination subpackage."""
