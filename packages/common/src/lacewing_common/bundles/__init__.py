"""Split, validate, sign, roll and verify bundles."""

from lacewing_common.bundles._assemble import assemble
from lacewing_common.bundles._check import check_bundle
from lacewing_common.bundles._parts import canonical
from lacewing_common.bundles._parts import Contents
from lacewing_common.bundles._parts import contents_of
from lacewing_common.bundles._parts import contents_of_parts
from lacewing_common.bundles._parts import join
from lacewing_common.bundles._parts import read_trust
from lacewing_common.bundles._parts import split
from lacewing_common.bundles._problems import Problem
from lacewing_common.bundles._proof import Proof
from lacewing_common.bundles._proof import read_proof
from lacewing_common.bundles._read import read_bundle_text
from lacewing_common.bundles._sign_off import Roll
from lacewing_common.bundles._sign_off import sign_off
from lacewing_common.bundles._sign_off import SignOff
from lacewing_common.bundles._sign_off import SignOffRole
from lacewing_common.bundles._signatures import new_key
from lacewing_common.bundles._signatures import OperatorKey
from lacewing_common.bundles._signatures import read_key
from lacewing_common.bundles._signatures import write_key
from lacewing_common.bundles._successor import head_digest
from lacewing_common.bundles._successor import make_successor
from lacewing_common.bundles._successor import Predecessor
from lacewing_common.bundles._successor import RollOrder
from lacewing_common.bundles._validator import BUNDLE
from lacewing_common.bundles._validator import BundleValidator

__all__ = [
    'BUNDLE',
    'BundleValidator',
    'Contents',
    'OperatorKey',
    'Predecessor',
    'Problem',
    'Proof',
    'Roll',
    'RollOrder',
    'SignOff',
    'SignOffRole',
    'assemble',
    'canonical',
    'check_bundle',
    'contents_of',
    'contents_of_parts',
    'head_digest',
    'join',
    'new_key',
    'read_bundle_text',
    'read_key',
    'read_proof',
    'read_trust',
    'sign_off',
    'split',
    'make_successor',
    'write_key',
]
