"""Tests of the standins subpackage."""
