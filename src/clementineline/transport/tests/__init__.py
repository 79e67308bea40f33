"""Tests of the transport subpackage."""
