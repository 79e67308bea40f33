"""The soak: gateways and keepers as processes, under faults and load.

``python -m clementineline.platform.tests.soak --seed 1`` runs one seed. The
store and the endpoints are stand-ins in the process of the soak; what they and
the callers see is compared with the promises.
"""
