"""Tests of the experiments subpackage."""
