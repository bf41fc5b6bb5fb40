"""Decode the customers in the operators' configuration."""

from collections.abc import Iterable, Mapping

import msgspec

from cassialever.decoding import decode_json, shortened
from cassialever.errors import ErrorKind, Failure
from cassialever.fleet.model import CredentialHash, Customer
from cassialever.platform.configuration_limits import (
    MAX_CREDENTIALS,
    Credential,
    Rank,
    RequestRate,
)
from cassialever.platform.credentials import hash_credential
from cassialever.platform.entry_limits import is_target_name
from cassialever.types import CustomerName


class _Tenant(msgspec.Struct):
    api_keys: list[Credential] = []
    priority: Rank | None = None
    rate_per_s: RequestRate = 0
    burst_size: RequestRate = 0


def decode_customers(
    tenants: Mapping[str, msgspec.Raw],
) -> Mapping[CredentialHash, Customer] | Failure:
    """Return the customers by the hashes of their keys.

    One fault rejects all of them; the reason names the customer, never a key.
    """
    customer_by_credential: dict[CredentialHash, Customer] = {}
    for name, content in tenants.items():
        if not is_target_name(name):
            return _invalid(
                f'{shortened(name)!r}: no header can carry the name'
            )
        wire = decode_json(bytes(content), _Tenant)
        if isinstance(wire, Failure):
            return _invalid(f'{name}: {wire.reason}')
        customer = Customer(
            name=CustomerName(name),
            rank=wire.priority,
            rate=wire.rate_per_s,
            burst=wire.burst_size,
        )
        other = _add_keys(customer_by_credential, customer, wire.api_keys)
        if other is not None:
            return _invalid(f'{name}: it has a key of {other.name}')
    if len(customer_by_credential) > MAX_CREDENTIALS:
        return _invalid(f'all together have over {MAX_CREDENTIALS} keys')
    return customer_by_credential


def _add_keys(
    customer_by_credential: dict[CredentialHash, Customer],
    customer: Customer,
    keys: Iterable[str],
) -> Customer | None:
    """Add a customer's keys; return another customer that has one of them."""
    for key in keys:
        known = customer_by_credential.setdefault(
            hash_credential(key), customer
        )
        if known is not customer:
            return known
    return None


def _invalid(reason: str) -> Failure:
    return Failure(ErrorKind.catalogue_invalid, f'tenant {reason}')
