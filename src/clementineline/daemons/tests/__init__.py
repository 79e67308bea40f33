"""Tests of the daemons subpackage."""
