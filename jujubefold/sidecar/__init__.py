"""The daemon beside each upstream on a platform that holds the configuration.

A request passes through `ingress` on its caller's VM and `egress` on the
selected upstream's VM. The modules that decide between them do no input or
output: `balancer`, `limiter`, `retrybudget`, `trafficsplit`, `callerwait` and
`instance`.
"""
