"""The keys by which callers are admitted, in the platform's headers.

A key is kept as its hash only, so that none can reach a log or a target, and a
look-up takes as long for one that is nearly right as for any other.
"""

import hashlib
from collections.abc import Mapping
from typing import Final

from multidict import CIMultiDict, CIMultiDictProxy

from cassialever.fleet.model import CredentialHash
from cassialever.types import CustomerName

CREDENTIAL_HEADER: Final = 'Api-Key'
CUSTOMER_HEADER: Final = 'Tenant'
_HASH_BYTES: Final = 16


def hash_credential(credential: str) -> CredentialHash:
    """Return the hash by which a key is known."""
    encoded = credential.encode('utf-8', 'surrogateescape')
    return CredentialHash(
        hashlib.blake2b(encoded, digest_size=_HASH_BYTES).digest()
    )


def credential_of(headers: Mapping[str, str]) -> CredentialHash | None:
    """Return the hash of a request's key; None without one or with several."""
    if not isinstance(headers, CIMultiDict | CIMultiDictProxy):
        headers = CIMultiDict(headers)
    credentials = headers.getall(CREDENTIAL_HEADER, [])
    if len(credentials) != 1 or not credentials[0]:
        return None
    return hash_credential(credentials[0])


def admitted_headers(
    headers: Mapping[str, str], customer: CustomerName | None
) -> CIMultiDict[str]:
    """Return headers without the key, and with the name of its customer.

    The name that the caller sent is dropped in any case.
    """
    admitted = CIMultiDict(headers)
    admitted.popall(CREDENTIAL_HEADER, None)
    admitted.popall(CUSTOMER_HEADER, None)
    if customer is not None:
        admitted[CUSTOMER_HEADER] = customer
    return admitted
