"""The platform's wire format as one object for gateways and keepers."""

from clementineline.platform import batches
from clementineline.platform import calls
from clementineline.platform import duties
from clementineline.platform import endpoints
from clementineline.platform import manifest
from clementineline.state import dialect

__all__ = ['WireDialect']


class WireDialect:
    """Implements :class:`~clementineline.state.dialect.Dialect`."""

    __slots__ = ()

    kinds = dialect.StoreKinds(
        routes='config',
        routes_name='main',
        endpoints='servers',
        versions='versions',
        retirements='retirements',
    )
    version_field = calls.VERSION_FIELD
    ready_path = b'/api/ready'
    decode_routes = staticmethod(manifest.decode_manifest)
    decode_endpoint = staticmethod(endpoints.decode_endpoint)
    decode_named_version = staticmethod(endpoints.decode_named_version)
    read_call = staticmethod(calls.read_call)
    read_reply = staticmethod(calls.read_reply)
    read_batch_call = staticmethod(batches.read_batch_call)
    decode_submission = staticmethod(batches.decode_submission)
    estimate_decoded_bytes = staticmethod(batches.estimate_decoded_bytes)
    encode_page = staticmethod(batches.encode_page)
    build_call = staticmethod(calls.build_call)
    build_item_call = staticmethod(calls.build_item_call)
    build_reward_call = staticmethod(calls.build_reward_call)
    build_health_call = staticmethod(endpoints.build_health_call)
    build_report_call = staticmethod(endpoints.build_report_call)
    decode_report = staticmethod(endpoints.decode_report)
    build_order_call = staticmethod(endpoints.build_order_call)
    read_order_status = staticmethod(endpoints.read_order_status)
    build_usage_call = staticmethod(duties.build_usage_call)
    build_capacity_call = staticmethod(duties.build_capacity_call)
    read_duty_status = staticmethod(duties.read_duty_status)
    build_retry_headers = staticmethod(calls.build_retry_headers)

    @staticmethod
    def encode_retirement(completed):
        """Encode the status of a VM's retirement.

        :param completed: whether the VM may be removed
        """
        return {'state': 'completed' if completed else 'running'}
