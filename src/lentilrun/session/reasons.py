"""What the reasons of refusals and exclusions mean, for operators."""

from __future__ import annotations

# Why the router itself responded to a request.
REFUSALS = {
    'bad_request': 'the request has no id, or a path beyond ASCII',
    'body_too_large': 'the body is larger than the configuration allows',
    'body_stalled': 'the caller ceased to send the body',
    'no_memory': 'the process had no memory left for the body',
    'no_connection': 'the VM had too many open connections',
    'not_configured': 'the VM had read no configuration yet',
    'unknown_route': 'no route has this host and path',
    'key_refused': 'no workspace holds the key',
    'quota': 'the workspace is over its rate and burst',
    'no_target': 'no target could take it in time',
    'no_path': 'the VM reached no target, and another one had forwarded it',
    'busy': 'the VM had too many calls of other VMs',
    'old_configuration': 'the VM had an older configuration than the caller',
    'rate_limited': 'all targets limit their requests, and no turn was left',
    'overloaded': 'every target would answer after the deadline',
    'quarantined': 'targets crashed under it too often',
    'retries_spent': 'a target turned it away, and no retry was left',
    'leaving': 'the VM was stopping',
    'deadline': 'the deadline passed',
    'target_failed': 'the target broke off, and it must not run again',
    'old_weights': 'it waited too long at an engine with old weights',
    'internal': 'the router itself failed',
}
# Why a target was not compared with others for a request.
EXCLUSIONS = {
    'begins_too_late': 'its weights would be too old once the call begins',
    'connection_limit': 'it has all connections that the VM may open',
    'evacuated': 'its data centre is evacuated',
    'leaves': 'it is draining, or said that it leaves',
    'limit_of_another_is_checked': 'another may have ended its rate limit',
    'loads_weights': 'it is out of service to load weights',
    'no_room': 'it might reject the call, and bears no more rejections',
    'no_service': 'the configuration has no such service',
    'no_turn': 'its rate limit leaves the VM no turn now',
    'no_weights': 'it has no weights of the model',
    'not_compared': 'the outcome did not depend on targets',
    'not_drawn': 'a dearer target was drawn, so that loads are even',
    'not_sampled': 'the VM compares a random part of the targets',
    'old_weights': 'its weights were replaced too long ago',
    'other': 'a rule without a description excluded it',
    'region_not_allowed': 'the route or the workspace excludes its region',
    'rests': 'it wants no calls from the VM for a time',
    'rollout': 'its software version gets no such calls now',
    'unreachable': 'the last connections to it failed',
    'was_full': 'it refused a call a moment ago',
}


__all__ = ['EXCLUSIONS', 'REFUSALS']
