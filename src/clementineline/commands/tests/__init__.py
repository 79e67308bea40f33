"""Tests of the commands subpackage."""
