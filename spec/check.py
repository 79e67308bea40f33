"""Check the specification; filled by the models beside this file."""
