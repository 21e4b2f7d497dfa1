"""Names of the things that skylarktack serves, as distinct string types."""

from typing import NewType

#: Name of one target: a model engine or a plain service replica.
TargetName = NewType('TargetName', str)

#: Name of one route, as callers use it in a path.
RouteName = NewType('RouteName', str)

#: Name of one organisation.
OrganisationName = NewType('OrganisationName', str)

#: Name of one version of a model or a service.
VersionName = NewType('VersionName', str)

#: Name of one entry instance, unique for the life of its process.
InstanceName = NewType('InstanceName', str)

#: Identifier of one caller's request, unique in the deployment.
RequestId = NewType('RequestId', str)

#: Name of a failure domain: targets that are likely to fail together.
FailureDomain = NewType('FailureDomain', str)
