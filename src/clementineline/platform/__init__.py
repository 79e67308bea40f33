"""Adapter to the users' platform; it translates and makes no decisions.

Names of the platform's wire format appear only in this package. Each module
translates one part of the wire format to and from the internal types.
"""
