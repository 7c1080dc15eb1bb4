"""Identifiers shared by all packages.

Each identifier is a distinct type, so that a type checker rejects an
organisation where a service is expected.
"""

from typing import NewType

CallId = NewType('CallId', str)
Digest = NewType('Digest', str)
DomainName = NewType('DomainName', str)
Incarnation = NewType('Incarnation', int)
KeyId = NewType('KeyId', str)
NodeId = NewType('NodeId', str)
OrgId = NewType('OrgId', str)
RegionName = NewType('RegionName', str)
RequestId = NewType('RequestId', bytes)
RouteName = NewType('RouteName', str)
ServiceName = NewType('ServiceName', str)
TargetId = NewType('TargetId', str)
Version = NewType('Version', int)
