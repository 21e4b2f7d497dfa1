"""Distinct string types for names and identifiers."""

from typing import NewType

#: Name of a target: a replica of a model engine or of a plain service.
TargetName = NewType('TargetName', str)

#: Name of a route, part of the path that callers request.
RouteName = NewType('RouteName', str)

OrganisationName = NewType('OrganisationName', str)

#: Name of a version of a model or a service.
VersionName = NewType('VersionName', str)

#: Name of an entry instance, unique during the lifetime of its process.
InstanceName = NewType('InstanceName', str)

#: Identifier of a caller's request, unique in the deployment.
RequestId = NewType('RequestId', str)

#: Name of a failure domain: targets and instances that are likely to fail
#: together.
FailureDomain = NewType('FailureDomain', str)
