"""The adapter to the users' platform: it translates, and decides nothing.

Names of the wire appear in this folder alone. Each module turns one part of
the wire into the product's types, and back.
"""
